//! Claims on idempotency keys, as they stand in the table.

use goldcresttally_core::errors::invalid;
use goldcresttally_core::{AttemptId, Generation, NodeId};

/// Identifies what a keyed call asks for, so that a key used for another call is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// What is known of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// An attempt was about to be sent when the claim was written.
    Running,
    /// The call was answered; the answer's body may have been too large to keep.
    Answered {
        /// The status of the answer.
        status: u16,
        /// The content type of the answer.
        content_type: String,
        /// The body, if it was kept.
        body: Option<String>,
    },
    /// The call did not run; the key is free for another try.
    Free,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// What the call asks for.
    pub fingerprint: Fingerprint,
    /// The attempt that runs or ran the call.
    pub attempt: AttemptId,
    /// The node that runs or ran it.
    pub holder: NodeId,
    /// The address of that node for calls from other nodes.
    pub holder_peer: String,
    /// The generation of that node.
    pub holder_generation: Generation,
    /// Wall-clock time after which the claim means nothing, in milliseconds since the epoch.
    pub expires_at_ms: u64,
    /// What is known of the call.
    pub state: ClaimState,
}

/// Separates the fields of a claim's text; occurs in none but the last.
const SEPARATOR: char = '\n';

impl Claim {
    /// Writes the claim as the text of its row.
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

    /// Reads a claim from the text of its row.
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
