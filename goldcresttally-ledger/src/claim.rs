//! Claims on idempotency keys, and their text form in the table.

use goldcresttally_core::errors::invalid;
use goldcresttally_core::{AttemptId, Generation, NodeId};

/// A hash of a call with an idempotency key, which detects that a key is reused for another call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// The known state of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// An attempt was about to be sent when the claim was written.
    Running,
    /// The call was answered; the body is missing if it was too large to store.
    Answered {
        /// HTTP status code of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// The body, if it is stored.
        body: Option<String>,
    },
    /// The call did not run; the key is free for another attempt.
    Free,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// The attempt that runs or ran the call.
    pub attempt: AttemptId,
    /// The node that runs or ran the attempt.
    pub holder: NodeId,
    /// That node's address for calls from other nodes.
    pub holder_peer: String,
    /// That node's generation.
    pub holder_generation: Generation,
    /// Wall-clock time at which the claim expires, in milliseconds since the Unix epoch.
    pub expires_at_ms: u64,
    /// State of the call.
    pub state: ClaimState,
}

/// Separates the fields of the text form. Only the last field, the body, may contain it.
const SEPARATOR: char = '\n';

impl Claim {
    /// Returns the text form of the claim.
    pub fn encode(&self) -> String {
        let head = [
            format!("{:016x}", self.fingerprint.0),
            self.attempt.to_string(),
            self.holder.to_string(),
            self.holder_peer.clone(),
            self.holder_generation.to_string(),
            self.expires_at_ms.to_string(),
        ];
        let state = match &self.state {
            ClaimState::Running => "running".to_owned(),
            ClaimState::Free => "free".to_owned(),
            ClaimState::Answered { status, content_type, body: None } => {
                format!("answered\n{status}\n{content_type}")
            }
            ClaimState::Answered { status, content_type, body: Some(body) } => {
                format!("answered\n{status}\n{content_type}\n{body}")
            }
        };
        format!("{}{SEPARATOR}{state}", head.join("\n"))
    }

    /// Parses the text form of a claim.
    ///
    /// Returns an error if a field is missing or invalid.
    pub fn decode(text: &str) -> goldcresttally_core::Result<Self> {
        let mut fields = text.splitn(10, SEPARATOR);
        let mut next = || match fields.next() {
            Some(field) => Ok(field),
            None => invalid("claim", text, "nine fields on lines of their own"),
        };
        let Ok(fingerprint) = u64::from_str_radix(next()?, 16) else {
            return invalid("claim", text, "a hexadecimal fingerprint first");
        };
        Ok(Self {
            fingerprint: Fingerprint(fingerprint),
            attempt: next()?.parse()?,
            holder: next()?.parse()?,
            holder_peer: next()?.to_owned(),
            holder_generation: next()?.parse()?,
            expires_at_ms: next()?.parse::<Generation>()?.0,
            state: match next()? {
                "running" => ClaimState::Running,
                "free" => ClaimState::Free,
                "answered" => {
                    let Ok(status) = next()?.parse() else {
                        return invalid("claim", text, "a status");
                    };
                    let content_type = next()?.to_owned();
                    ClaimState::Answered {
                        status,
                        content_type,
                        body: next().ok().map(str::to_owned),
                    }
                }
                _ => return invalid("claim", text, "running, free or answered"),
            },
        })
    }
}
