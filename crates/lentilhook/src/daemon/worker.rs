//! Thread pool for blocking platform calls.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;

use store::client::Client;

/// A call to execute. It delivers its result itself.
type Task = Box<dyn FnOnce(&Client) + Send>;

/// Handle for queueing calls to the thread pool.
#[derive(Clone, Debug)]
pub struct Worker {
    tasks: Sender<Task>,
}

impl Worker {
    /// Starts a pool with this number of threads.
    pub fn start(client: &Client, threads: usize) -> Worker {
        let (tasks, receiver) = channel();
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..threads {
            let receiver = Arc::clone(&receiver);
            let client = client.clone();
            thread::spawn(move || run(&receiver, &client));
        }
        Worker { tasks }
    }

    /// Queues a call, which runs on one of the threads.
    pub fn queue(&self, task: impl FnOnce(&Client) + Send + 'static) {
        let _ = self.tasks.send(Box::new(task));
    }
}

fn run(receiver: &Mutex<Receiver<Task>>, client: &Client) {
    loop {
        let task = {
            let receiver = receiver.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            receiver.recv()
        };
        match task {
            Ok(task) => task(client),
            Err(_) => return,
        }
    }
}
