//! A subscriber that keeps the lines of the router.

use std::{
    fmt::Debug,
    sync::{
        Arc,
        LazyLock,
        Mutex, //
    },
};

use indexmap::IndexMap;
use tracing::{
    Dispatch,
    Event,
    Level,
    Metadata,
    Subscriber,
    field::{
        Field,
        Visit, //
    },
    span, //
};

/// `Line` is one line of the log.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub(crate) target: String,
    pub(crate) level: Level,
    pub(crate) fields: IndexMap<String, String>,
}

impl Line {
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let text = format!("{value:?}");
        self.fields.insert(field.name().to_owned(), text);
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.fields
            .insert(field.name().to_owned(), value.to_owned());
    }
}

struct Capture(Arc<Mutex<Vec<Line>>>);

impl Subscriber for Capture {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &span::Attributes<'_>) -> span::Id {
        span::Id::from_u64(1)
    }

    fn record(&self, _: &span::Id, _: &span::Record<'_>) {}

    fn record_follows_from(&self, _: &span::Id, _: &span::Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut line = Line {
            target: event.metadata().target().to_owned(),
            level: *event.metadata().level(),
            fields: IndexMap::new(),
        };
        event.record(&mut line);
        if let Ok(mut lines) = self.0.lock() {
            lines.push(line);
        }
    }

    fn enter(&self, _: &span::Id) {}

    fn exit(&self, _: &span::Id) {}
}

/// Subscribers that live as long as the process. While there is only one, `tracing` asks the
/// subscriber of the thread that first comes to a line whether anybody wants it, and remembers the
/// answer for all threads: a test beside, which has none, would silence the line for the test that
/// captures it.
static OTHERS: LazyLock<[Dispatch; 2]> = LazyLock::new(|| {
    let idle = || Dispatch::new(Capture(Arc::default()));
    [idle(), idle()]
});

/// Gets the lines that `write` writes.
pub(crate) fn lines(write: impl FnOnce()) -> Vec<Line> {
    LazyLock::force(&OTHERS);
    let lines = Arc::new(Mutex::new(Vec::new()));
    tracing::subscriber::with_default(Capture(Arc::clone(&lines)), write);
    lines.lock().map(|l| l.clone()).unwrap_or_default()
}
