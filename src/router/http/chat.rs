//! The shape of a model call and of its answer.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Most tokens that one call may ask for.
pub const TOKENS_MAX: i64 = 32_768;
/// Tokens generated where the call does not say.
const TOKENS_DEFAULT: i64 = 256;

/// What is wrong with a call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Not JSON, or not of this shape.
    #[snafu(display("body: {source}"))]
    Json {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A field is out of range.
    #[snafu(display("{field}: {wanted}"))]
    Field {
        /// The field.
        field: &'static str,
        /// What it accepts.
        wanted: String,
    },
}

/// One message of the conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

#[derive(Deserialize)]
struct Raw {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<i64>,
    stream: Option<bool>,
}

/// A checked call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Call {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Tokens to generate, at most.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Call {
    /// The conversation as one text.
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

/// Reads and checks a call.
///
/// # Errors
/// What is wrong, with the field and what it accepts.
pub fn parse(body: &[u8]) -> Result<Call, Error> {
    let raw: Raw = serde_json::from_slice(body).context(JsonSnafu)?;
    let max_tokens = raw.max_tokens.unwrap_or(TOKENS_DEFAULT);
    ensure!(
        (1..=TOKENS_MAX).contains(&max_tokens),
        FieldSnafu {
            field: "max_tokens",
            wanted: format!("1 to {TOKENS_MAX}"),
        }
    );
    ensure!(
        !raw.messages.is_empty(),
        FieldSnafu {
            field: "messages",
            wanted: "one message or more",
        }
    );
    ensure!(
        crate::util::is_name(&raw.model),
        FieldSnafu {
            field: "model",
            wanted: "1 to 64 letters, digits, dots, dashes or underscores",
        }
    );
    Ok(Call {
        model: raw.model,
        messages: raw.messages,
        max_tokens: max_tokens.unsigned_abs(),
        stream: raw.stream.unwrap_or(false),
    })
}

/// What a frame adds to the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// The one choice of a frame.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// What it adds.
    pub delta: Delta,
    /// Why the answer ends here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// What an answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Both.
    pub total_tokens: u64,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request.
    pub id: String,
    /// The dispatch of it that this answers.
    pub attempt: u32,
    /// The frame's place; the first is 0.
    pub index: u64,
    /// One choice.
    pub choices: Vec<Choice>,
    /// In the last frame only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

impl Frame {
    /// A frame with a word.
    pub fn word(id: &str, attempt: u32, index: u64, word: String) -> Self {
        let choice = Choice {
            delta: Delta {
                content: Some(word),
            },
            ..Choice::default()
        };
        Self::new(id, attempt, index, choice, None)
    }

    /// The last frame, after `index` words.
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

    /// The text that it adds.
    pub fn text(&self) -> &str {
        let content = self
            .choices
            .first()
            .and_then(|choice| choice.delta.content.as_deref());
        content.unwrap_or("")
    }
}
