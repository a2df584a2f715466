//! JSON requests and responses of the completion API, in the widely used format of
//! `/v1/completions` and `/v1/chat/completions`.

use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::request::IncomingGeneration;
use crate::manifest::Snapshot;
use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::policy::prefix::prefix_hashes;

const DEFAULT_MAX_TOKENS: u32 = 256;

/// Format of a request and its response, one for each endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiFormat {
    /// Text completion, `/v1/completions`.
    Completion,
    /// Chat completion, `/v1/chat/completions`.
    Chat,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: CompactString,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: CompactString,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: Content,
}

/// Content of a chat message: one string or a list of parts.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Whole(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum ContentPart {
    Text { text: String },
}

impl Content {
    fn text(&self) -> String {
        match self {
            Self::Whole(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|ContentPart::Text { text }| &**text).collect(),
        }
    }
}

/// Request fields that would change the response but are not implemented. A request
/// that sets one to other than its default is refused instead of ignoring the field.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct UnsupportedFields {
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
    logprobs: Option<serde_json::Value>,
    stop: Option<serde_json::Value>,
    suffix: Option<String>,
    tools: Option<Vec<serde_json::Value>>,
    response_format: Option<serde_json::Value>,
}

impl UnsupportedFields {
    /// Returns the name of the first field that is set to other than its default.
    fn first_requested(&self) -> Option<&'static str> {
        let logprobs = self.logprobs.as_ref().is_some_and(|value| *value != false);
        let requested = [
            ("n", self.n.is_some_and(|n| n != 1)),
            ("best_of", self.best_of.is_some_and(|best_of| best_of != 1)),
            ("echo", self.echo == Some(true)),
            ("logprobs", logprobs),
            ("stop", self.stop.is_some()),
            ("suffix", self.suffix.is_some()),
            ("tools", self.tools.as_ref().is_some_and(|tools| !tools.is_empty())),
            ("response_format", self.response_format.is_some()),
        ];
        requested.into_iter().find(|(_, requested)| *requested).map(|(field, _)| field)
    }
}

/// Valid request of a caller for generated text.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Model, prompt and limits of the request, as input for the core.
    pub incoming: IncomingGeneration,
    /// True if the caller asked for a stream of events instead of one JSON object.
    pub stream: bool,
}

/// Parses and validates a request body against the models in `snapshot`.
///
/// # Errors
/// Returns a refusal whose detail names the invalid field, or says where the body is not
/// JSON.
pub fn parse_request(
    format: ApiFormat,
    body: &[u8],
    snapshot: &Snapshot,
) -> Result<ParsedRequest, Refusal> {
    if let Some(field) = parse::<UnsupportedFields>(body)?.first_requested() {
        let detail = format!("{field}: not supported");
        return Err(invalid(RefusalReason::InvalidField, detail));
    }
    let (model, prompt, max_tokens, stream) = match format {
        ApiFormat::Completion => {
            let body: CompletionBody = parse(body)?;
            (body.model, body.prompt, body.max_tokens, body.stream)
        }
        ApiFormat::Chat => {
            let body: ChatBody = parse(body)?;
            (body.model, chat_prompt(&body.messages), body.max_tokens, body.stream)
        }
    };
    let Some(model_spec) = snapshot.model(&model) else {
        return Err(invalid(RefusalReason::UnknownModel, format!("model: no model {model:?}")));
    };
    if max_tokens == Some(0) {
        let detail = "max_tokens: expected a number above 0".to_string();
        return Err(invalid(RefusalReason::InvalidField, detail));
    }
    let bytes_per_token = model_spec.prompt_bytes_per_token;
    let prompt_tokens = (prompt.len() as u32).div_ceil(bytes_per_token).max(1);
    if prompt_tokens > model_spec.max_prompt_tokens {
        let limit = model_spec.max_prompt_tokens;
        let detail = format!("prompt: {prompt_tokens} tokens, the model takes {limit}");
        return Err(invalid(RefusalReason::PromptTooLong, detail));
    }
    let prompt = Bytes::from(prompt);
    let incoming = IncomingGeneration {
        model,
        prompt_tokens,
        prefixes: prefix_hashes(&prompt, bytes_per_token),
        prompt,
        max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    };
    Ok(ParsedRequest { incoming, stream })
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let reason = match error.inner().classify() {
            serde_json::error::Category::Data => RefusalReason::InvalidField,
            _ => RefusalReason::MalformedJson,
        };
        invalid(reason, format!("{}: {}", error.path(), error.inner()))
    })
}

fn invalid(reason: RefusalReason, detail: String) -> Refusal {
    Refusal { detail, ..Refusal::not_run(reason, None) }
}

fn chat_prompt(messages: &[ChatMessage]) -> String {
    messages
        .iter()
        .map(|message| format!("{}: {}\n", message.role, message.content.text()))
        .collect()
}

#[derive(Debug, Serialize)]
struct ModelsJson<'a> {
    object: &'static str,
    data: Vec<ModelJson<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelJson<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Returns the JSON response of `/v1/models`: all models of the manifest.
pub fn models(snapshot: &Snapshot) -> Vec<u8> {
    let model = |name| ModelJson { id: name, object: "model", owned_by: "bamboodoor" };
    let data = snapshot.model_names().map(model).collect();
    serde_json::to_vec(&ModelsJson { object: "list", data })
        .expect("a model list can be serialized as JSON")
}

#[derive(Debug, Serialize)]
struct ResponseJson<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [ChoiceJson<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageJson>,
}

#[derive(Debug, Serialize)]
struct ChoiceJson<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<MessageJson<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<MessageJson<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct MessageJson<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct UsageJson {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

/// Writes the JSON responses of one request, with the members that all have in common.
#[derive(Debug, Clone)]
pub struct ResponseFormatter {
    /// Format that the caller chose by the endpoint.
    pub format: ApiFormat,
    /// Id of the request, written as `id`.
    pub request_id: CompactString,
    /// Name of the model, as the caller wrote it.
    pub model: CompactString,
}

impl ResponseFormatter {
    /// Returns the JSON of one event of a streamed response, without the event framing.
    /// `finish_reason` is set in the last event only.
    pub fn stream_event(&self, text: &str, finish_reason: Option<&str>) -> Vec<u8> {
        let (object, choice) = match self.format {
            ApiFormat::Completion => {
                ("text_completion", self.choice(Some(text), None, None, finish_reason))
            }
            ApiFormat::Chat => {
                let delta = MessageJson { role: "assistant", content: text };
                ("chat.completion.chunk", self.choice(None, None, Some(delta), finish_reason))
            }
        };
        self.json(object, choice, None)
    }

    /// Returns the JSON of a complete response, with token counts under `usage`.
    pub fn complete_response(
        &self,
        text: &str,
        finish_reason: &str,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> Vec<u8> {
        let usage = UsageJson {
            prompt_tokens,
            completion_tokens: output_tokens,
            total_tokens: prompt_tokens + output_tokens,
        };
        let (object, choice) = match self.format {
            ApiFormat::Completion => {
                ("text_completion", self.choice(Some(text), None, None, Some(finish_reason)))
            }
            ApiFormat::Chat => {
                let message = MessageJson { role: "assistant", content: text };
                ("chat.completion", self.choice(None, Some(message), None, Some(finish_reason)))
            }
        };
        self.json(object, choice, Some(usage))
    }

    fn choice<'a>(
        &self,
        text: Option<&'a str>,
        message: Option<MessageJson<'a>>,
        delta: Option<MessageJson<'a>>,
        finish_reason: Option<&'a str>,
    ) -> ChoiceJson<'a> {
        ChoiceJson { index: 0, text, message, delta, finish_reason }
    }

    fn json(
        &self,
        object: &'static str,
        choice: ChoiceJson<'_>,
        usage: Option<UsageJson>,
    ) -> Vec<u8> {
        let response = ResponseJson {
            id: &self.request_id,
            object,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_vec(&response).expect("a response can be serialized as JSON")
    }
}
