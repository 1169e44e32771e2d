//! What callers send, and when they send it again.

use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    gateway::{
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
        refusal::Refusal,
        retry_delay, //
    },
    units::Time,
};

use crate::lab::{
    account::Outcome,
    fleet::{
        Fleet,
        LIMIT,
        Next,
        Request,
        deployment::HOST, //
    },
    sheet::Trouble,
};

/// Times a mean that a drawn size is at least and at most.
const SPREAD: std::ops::Range<f64> = 0.3..1.7;
/// Part that ends engines under [`Trouble::FatalPart`].
const FATAL_PART: Part = Part {
    id: u64::MAX,
    tokens: 90,
};

impl Fleet<'_> {
    /// Lets callers send what is new.
    pub(super) fn ask(&mut self, now: u64) {
        for kind in 0..self.sheet.kinds.len() {
            let of = |t: &Trouble| match *t {
                Trouble::Burst { kind: k, times } if k == kind => times,
                _ => 1.0,
            };
            let times: f64 = self.sheet.at(now).map(|t| of(&t)).product();
            let mut rate = self.sheet.kinds[kind].rate * times / 1000.0;
            while rate > 0.0 && self.rng.random_bool(rate.clamp(0.0, 1.0)) {
                rate -= 1.0;
                let request = self.request(now, kind);
                self.push(now, request);
            }
        }
        let fatal = self.sheet.at(now).find_map(|t| match t {
            Trouble::Fatal { every, .. } => Some(every),
            _ => None,
        });
        if fatal.is_some_and(|every| now.is_multiple_of(every)) {
            let request = Request {
                fatal: true,
                repeated: true,
                ..self.request(now, 0)
            };
            self.push(now, request);
        }
        let fatal_part = self.sheet.at(now).find_map(|t| match t {
            Trouble::FatalPart { every, .. } => Some(every),
            _ => None,
        });
        if fatal_part.is_some_and(|every| now.is_multiple_of(every)) {
            let mut request = self.request(now, 0);
            request.fatal = true;
            if let Some(prompt) = &mut request.incoming_request.prompt {
                let mut parts = prompt.parts.to_vec();
                parts.insert(1, FATAL_PART);
                prompt.parts = parts.into();
            }
            self.push(now, request);
        }
    }

    fn push(&mut self, now: u64, request: Request) {
        let prompt = request.incoming_request.prompt.as_ref();
        self.account.outcomes.push(Outcome {
            asked: now,
            kind: request.kind,
            tokens: prompt.map_or(0, |p| p.input),
            first: None,
            on_time: false,
        });
        self.requests.push(request);
        self.later(now, Next::Try(self.requests.len() - 1));
    }

    fn request(&mut self, now: u64, kind: usize) -> Request {
        let sheet = self.sheet.kinds[kind];
        let hot = self.sheet.at(now).find_map(|t| match t {
            Trouble::Hot { kind: k, share } if k == kind => Some(share),
            _ => None,
        });
        let hot = hot.is_some_and(|share| self.rng.random_bool(share));
        let session = if hot {
            0
        } else {
            self.rng.random_range(0..sheet.sessions)
        };
        let id = xxhash_rust::xxh3::xxh3_64(format!("{kind}/{session}").as_bytes());
        // A session's part has one size, whoever asks for it.
        let sized = StdRng::seed_from_u64(id).random_range(SPREAD);
        let own = Part {
            id: self.rng.random(),
            tokens: scaled(sheet.own, self.rng.random_range(SPREAD)),
        };
        let shared = Part {
            id,
            tokens: scaled(sheet.shared, sized),
        };
        let output = scaled(sheet.output, self.rng.random_range(SPREAD));
        Request {
            kind,
            asked: now,
            output,
            router: 0,
            engine: 0,
            ticket: None,
            fatal: false,
            repeated: false,
            returned: false,
            incoming_request: IncomingRequest {
                id: Bytes::from(self.requests.len().to_string()),
                host: Bytes::from_static(HOST),
                path: Bytes::from_static(b"/"),
                prompt: Some(Prompt {
                    model: Bytes::from_static(b"m"),
                    parts: vec![shared, own].into(),
                    input: shared.tokens + own.tokens,
                    output: output * 2,
                }),
                hint: Some(output),
                ..IncomingRequest::default()
            },
        }
    }

    /// Lets the caller of a refused request come back once, when it is told to.
    pub(super) fn refused(&mut self, now: u64, number: usize, refusal: Refusal) {
        let deadline = Time(self.requests[number].asked) + LIMIT;
        let draw = self.rng.random();
        let soon = retry_delay(Time(now), deadline, draw);
        let wait = refusal.retry_after.unwrap_or(soon);
        let request = &mut self.requests[number];
        if refusal.retryable && !std::mem::replace(&mut request.returned, true) {
            self.later(now + wait.0, Next::Try(number));
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are small, and the cast saturates"
)]
fn scaled(mean: u32, by: f64) -> u32 {
    (f64::from(mean) * by).round() as u32
}
