//! Threads that carry out blocking platform calls.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;

use store::client::Client;

/// A call to carry out; it tells its result itself.
type Task = Box<dyn FnOnce(&Client) + Send>;

/// Queue of platform calls.
#[derive(Clone, Debug)]
pub struct Worker {
    tasks: Sender<Task>,
}

impl Worker {
    /// Starts so many threads.
    pub fn start(client: &Client, threads: usize) -> Worker {
        let (tasks, received) = channel();
        let received = Arc::new(Mutex::new(received));
        for _ in 0..threads {
            let received = Arc::clone(&received);
            let client = client.clone();
            thread::spawn(move || run(&received, &client));
        }
        Worker { tasks }
    }

    /// Queues a call.
    pub fn queue(&self, task: impl FnOnce(&Client) + Send + 'static) {
        let _ = self.tasks.send(Box::new(task));
    }
}

fn run(received: &Mutex<Receiver<Task>>, client: &Client) {
    loop {
        let task = {
            let receiver = received.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            receiver.recv()
        };
        match task {
            Ok(task) => task(client),
            Err(_) => return,
        }
    }
}
