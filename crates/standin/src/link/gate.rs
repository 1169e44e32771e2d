//! Gates: they hold one request's bytes at a link, so that a fault comes at a known step.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        Ordering, //
    },
};

use tokio::sync::watch;

/// `Point` is where in a request's life its bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// The connection is made, nothing has passed.
    Connect,
    /// The request has come and none of it has passed.
    Request,
    /// Half of the request has passed.
    RequestPart,
    /// The request has passed, and nothing of its answer.
    Answer,
    /// One byte of the answer has passed.
    FirstByte,
    /// A part of the answer's body has passed.
    Middle,
    /// All but the answer's end has passed.
    LastByte,
}

/// `Gate` holds the request with its marker once; without a marker it holds every connection.
pub struct Gate {
    /// Where it holds.
    pub point: Point,
    marker: Option<Vec<u8>>,
    used: AtomicBool,
    reached: watch::Sender<Option<usize>>,
    open: watch::Sender<bool>,
}

impl Gate {
    /// Makes a closed gate.
    pub fn new(point: Point, marker: Option<&str>) -> Arc<Self> {
        Arc::new(Self {
            point,
            marker: marker.map(|text| text.as_bytes().to_vec()),
            used: AtomicBool::new(false),
            reached: watch::Sender::new(None),
            open: watch::Sender::new(false),
        })
    }

    /// Waits until something is held here; gives the number of the link.
    pub async fn reached(&self) -> usize {
        let mut reached = self.reached.subscribe();
        let seen = reached.wait_for(Option::is_some).await;
        seen.ok().and_then(|link| *link).unwrap_or_default()
    }

    /// Tells whether it holds the request with this marker.
    pub fn is_for(&self, marker: &str) -> bool {
        self.marker.as_deref() == Some(marker.as_bytes())
    }

    /// Tells whether something is or was held here.
    pub fn is_reached(&self) -> bool {
        self.reached.borrow().is_some()
    }

    /// Lets everything pass from now on.
    pub fn open(&self) {
        self.open.send_replace(true);
    }

    /// Holds the caller until the gate is opened.
    pub async fn hold(&self, link: usize) {
        self.reached.send_if_modified(|reached| {
            let first = reached.is_none();
            *reached = reached.or(Some(link));
            first
        });
        let _ = self.open.subscribe().wait_for(|open| *open).await;
    }

    /// Tells whether it holds the next answer, whosever it is.
    fn takes_any(&self) -> bool {
        let any = self.marker.is_none() && self.point == Point::Answer;
        any && !self.used.swap(true, Ordering::SeqCst)
    }

    fn matches(&self, bytes: &[u8]) -> bool {
        let Some(marker) = &self.marker else {
            return false;
        };
        let found = bytes.windows(marker.len()).any(|window| window == marker);
        found && !self.used.swap(true, Ordering::SeqCst)
    }
}

/// `Progress` is how far the request that a gate waits for has got on a connection.
#[derive(Default)]
pub struct Progress {
    waiting: Option<Arc<Gate>>,
    /// Bytes of the answer that came, and how many its head promises in all.
    came: usize,
    promised: Option<usize>,
    events: usize,
}

type Held = Vec<(Arc<Gate>, usize)>;

impl Progress {
    /// Looks at a piece of requests; gives where in it to hold, and at which gate.
    pub fn request(&mut self, bytes: &[u8], gates: &[Arc<Gate>]) -> Held {
        let Some(gate) = gates.iter().find(|gate| gate.matches(bytes)) else {
            return Vec::new();
        };
        let at = match gate.point {
            Point::Connect | Point::Request => 0,
            Point::RequestPart => bytes.len() / 2,
            _ => {
                *self = Self {
                    waiting: Some(Arc::clone(gate)),
                    ..Self::default()
                };
                return Vec::new();
            }
        };
        vec![(Arc::clone(gate), at)]
    }

    /// Looks at a piece of answers; gives where in it to hold, and at which gate.
    pub fn answer(&mut self, bytes: &[u8], gates: &[Arc<Gate>]) -> Held {
        let any = || gates.iter().find(|gate| gate.takes_any()).cloned();
        let Some(gate) = self.waiting.clone().or_else(any) else {
            return Vec::new();
        };
        if self.came == 0 {
            self.promised = promised(bytes);
        }
        let before = self.came;
        self.came += bytes.len();
        self.events += count(bytes, b"data: ");
        let whole = self.promised;
        let at = match gate.point {
            Point::Answer => Some(0),
            Point::FirstByte => Some(1),
            Point::Middle => match whole {
                Some(_) => Some(bytes.len() / 2),
                None => (self.events > 1).then_some(bytes.len() / 2),
            },
            _ => match whole {
                Some(end) => (self.came >= end).then(|| end - before - 1),
                None => find(bytes, b"data: [DONE]"),
            },
        };
        match at {
            Some(at) => {
                self.waiting = None;
                vec![(gate, at)]
            }
            None => Vec::new(),
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

fn count(bytes: &[u8], what: &[u8]) -> usize {
    bytes.windows(what.len()).filter(|w| *w == what).count()
}

/// Gets the length of head and body together where the head declares it.
fn promised(bytes: &[u8]) -> Option<usize> {
    let head = find(bytes, b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))?;
    Some(head + length.trim().parse::<usize>().ok()?)
}
