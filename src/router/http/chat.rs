//! The bodies of a model call and of its answer.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Maximum number of tokens that a call may request.
pub const TOKENS_MAX: i64 = 32_768;
/// Maximum number of generated tokens if the call sets none.
const TOKENS_DEFAULT: i64 = 256;

/// The reason why a call is invalid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The body is not JSON, or lacks a field or has one of the wrong type.
    #[snafu(display("body: {source}"))]
    Json {
        /// The position and the cause.
        source: serde_json::Error,
    },
    /// A field is out of range.
    #[snafu(display("{field}: {accepted}"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// The accepted values.
        accepted: String,
    },
}

/// One message of the conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The role of the speaker.
    pub role: String,
    /// The text.
    pub content: String,
}

#[derive(Deserialize)]
struct UncheckedCall {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<i64>,
    stream: Option<bool>,
}

/// A valid call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Call {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Call {
    /// The conversation as a single text.
    pub fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        prompt
    }
}

/// Parses and validates a call.
///
/// # Errors
/// If the body does not parse or a field is out of range; the error names the field and the accepted values.
pub fn parse(body: &[u8]) -> Result<Call, Error> {
    let raw: UncheckedCall = serde_json::from_slice(body).context(JsonSnafu)?;
    let max_tokens = raw.max_tokens.unwrap_or(TOKENS_DEFAULT);
    ensure!(
        (1..=TOKENS_MAX).contains(&max_tokens),
        FieldSnafu {
            field: "max_tokens",
            accepted: format!("1 to {TOKENS_MAX}"),
        }
    );
    ensure!(
        !raw.messages.is_empty(),
        FieldSnafu {
            field: "messages",
            accepted: "one message or more",
        }
    );
    ensure!(
        crate::util::is_name(&raw.model),
        FieldSnafu {
            field: "model",
            accepted: "1 to 64 letters, digits, dots, dashes or underscores",
        }
    );
    Ok(Call {
        model: raw.model,
        messages: raw.messages,
        max_tokens: max_tokens.unsigned_abs(),
        stream: raw.stream.unwrap_or(false),
    })
}

/// The text that a frame adds to the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// The only choice of a frame.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The added text.
    pub delta: Delta,
    /// The reason why the answer ends, in its last frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// The tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated.
    pub completion_tokens: u64,
    /// The sum of both.
    pub total_tokens: u64,
}

/// The data of one event in a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request id.
    pub id: String,
    /// Number of the dispatch that this frame answers.
    pub attempt: u32,
    /// Index of the frame in the answer, starting at 0.
    pub index: u64,
    /// Always exactly one choice.
    pub choices: Vec<Choice>,
    /// Set in the last frame only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

impl Frame {
    /// A frame with one word of the answer.
    pub fn word(id: &str, attempt: u32, index: u64, word: String) -> Self {
        let choice = Choice {
            delta: Delta {
                content: Some(word),
            },
            ..Choice::default()
        };
        Self::new(id, attempt, index, choice, None)
    }

    /// The last frame, which follows `index` words.
    pub fn last(id: &str, attempt: u32, index: u64, prompt_tokens: u64) -> Self {
        let choice = Choice {
            finish_reason: Some("length".to_owned()),
            ..Choice::default()
        };
        let usage = Usage {
            prompt_tokens,
            completion_tokens: index,
            total_tokens: prompt_tokens + index,
        };
        Self::new(id, attempt, index, choice, Some(usage))
    }

    fn new(id: &str, attempt: u32, index: u64, choice: Choice, usage: Option<Usage>) -> Self {
        Self {
            id: id.to_owned(),
            attempt,
            index,
            choices: vec![choice],
            usage,
        }
    }

    /// The text that the frame adds to the answer.
    pub fn text(&self) -> &str {
        let content = self
            .choices
            .first()
            .and_then(|choice| choice.delta.content.as_deref());
        content.unwrap_or("")
    }
}
