/** Creates threads that do not keep the process alive. */
final class Threads {
    interface Task {
        void run() throws Exception;
    }

    private Threads() {
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts a thread for [task]; an exception ends it quietly, as the end of a connection does. */
    static Thread start(Task task) {
        Thread thread = daemon(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The other end has closed the connection.
            }
        });
        thread.start();
        return thread;
    }
}
