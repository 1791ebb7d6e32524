//! A network path to a runner that can be cut: connections through it are reset, and new ones refused.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A path on a loopback address.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Path {
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let path = Self {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let serving = path.clone();
        thread::spawn(move || {
            while !serving.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => serving.carry(stream, to),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            // The listener closes, so that new connections are refused.
        });
        Ok(path)
    }

    fn carry(&self, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect(to) else {
            return;
        };
        for stream in [&near, &far] {
            // The stream may have inherited the listener's mode.
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(stream) = stream.try_clone() {
                self.open.lock().expect("no thread panics").push(stream);
            }
        }
        for (from, to) in [(&near, &far), (&far, &near)] {
            let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            thread::spawn(move || {
                // Either side may end the connection at any time.
                let _ = io::copy(&mut from, &mut to);
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("no thread panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
