#include "platform/call_headers.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>
#include <charconv>

#include "platform/decode_statements.h"
#include "platform/names.h"

namespace verbenalead::platform {
namespace {

/// Header fields that apply to one connection only and must not be forwarded
/// (RFC 9110, 7.6.1), and the content length, which is set again for the next
/// connection.
constexpr std::array<const char*, 9> kConnectionFields = {
    "connection", "keep-alive",        "proxy-connection",
    "te",         "transfer-encoding", "upgrade",
    "trailer",    "content-length",    "expect"};

constexpr int kMisdirected = 421;

std::optional<uint64_t> ParseUnsigned(std::string_view text) {
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end == text.data())
    return std::nullopt;
  return value;
}

/// Fields of answers that are read or need no action, besides statements.
constexpr std::array<const char*, 10> kKnownAnswerFields = {
    kRequestId,         kNotExecuted, kStamp,   kWeightVersion,
    "content-type",     "date",       "server", "cache-control",
    "content-encoding", "at-server"};

uint32_t ClampTokens(uint64_t value) {
  constexpr uint64_t kLargest = 1'000'000'000;
  return static_cast<uint32_t>(std::min(value, kLargest));
}

/// Limits of the parts of a prompt that are told apart, and of an id's length.
/// Parts beyond the first limit are ignored, and longer ids are cut.
constexpr size_t kMaxParts = 16;
constexpr size_t kMaxPartId = 64;

/// The id of a part in the field's `ID:TOKENS` form, in lower case and without
/// leading zeros, so that each spelling of the number is the same part.
std::string PartId(std::string_view item) {
  std::string id;
  for (const char c : item.substr(0, item.find(':'))) {
    if (c == ' ' || c == '\t' || (c == '0' && id.empty()))
      continue;
    id += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return id.substr(0, kMaxPartId);
}

/// Returns the ids of all parts but the last one.
std::vector<std::string> DecodeSharedParts(std::string_view text) {
  // A comma at the end begins no part.
  while (!text.empty() && (text.back() == ',' || text.back() == ' '))
    text.remove_suffix(1);
  std::vector<std::string> parts;
  size_t comma = 0;
  while ((comma = text.find(',')) != std::string_view::npos &&
         parts.size() < kMaxParts) {
    std::string id = PartId(text.substr(0, comma));
    text.remove_prefix(comma + 1);
    if (!id.empty() && std::find(parts.begin(), parts.end(), id) == parts.end())
      parts.push_back(std::move(id));
  }
  return parts;
}

void DropConnectionFields(wire::Headers& headers) {
  for (const char* name : kConnectionFields)
    headers.erase(name);
}

std::string WithoutPort(const std::string& host) {
  return host.substr(0, host.rfind(':'));
}

}  // namespace

model::InboundCall DecodeCall(const wire::Request& request) {
  model::InboundCall call;
  call.m_id = wire::Get(request.m_headers, kRequestId);
  call.m_host = WithoutPort(wire::Get(request.m_headers, "host"));
  call.m_path = wire::PathOf(request);
  call.m_api_key = wire::Get(request.m_headers, kKey);
  if (const auto left = ParseUnsigned(wire::Get(request.m_headers, kTimeLeft)))
    call.m_time_left = std::chrono::milliseconds(*left);
  const std::string usage = wire::Get(request.m_headers, kTokenUsage);
  call.m_prompt_tokens = ClampTokens(ParseUnsigned(usage).value_or(0));
  const size_t comma = usage.find(',');
  uint64_t output = 0;
  if (comma != std::string::npos)
    output =
        ParseUnsigned(std::string_view(usage).substr(comma + 1)).value_or(0);
  call.m_shared_parts =
      DecodeSharedParts(wire::Get(request.m_headers, kPromptParts));
  const auto hint = ParseUnsigned(wire::Get(request.m_headers, kLengthHint));
  call.m_output_tokens = ClampTokens(hint.value_or(output));
  call.m_last_event = wire::Get(request.m_headers, kLastEventId);
  return call;
}

wire::Request EncodeForReplica(const wire::Request& request,
                               const ForwardedCall& call) {
  wire::Request out = request;
  DropConnectionFields(out.m_headers);
  out.m_headers.erase(kKey);
  // Callers must not set these: they name the organisation, the replica, the
  // weights and the rank in the replica's queue.
  for (const char* name :
       {kOrganisation, kExpectReplica, kExpectWeights, kQueueRank})
    out.m_headers.erase(name);
  out.m_headers[kExpectReplica] = call.m_replica;
  out.m_headers[kTimeLeft] =
      std::to_string(std::max<int64_t>(1, ToMilliseconds(call.m_time_left)));
  if (!call.m_organisation.empty())
    out.m_headers[kOrganisation] = call.m_organisation;
  if (call.m_weights)
    out.m_headers[kExpectWeights] = std::to_string(*call.m_weights);
  if (call.m_queue_rank)
    out.m_headers[kQueueRank] = std::to_string(*call.m_queue_rank);
  if (!call.m_last_event.empty())
    out.m_headers[kLastEventId] = call.m_last_event;
  return out;
}

AnswerMetadata DecodeAnswer(const wire::ResponseHead& head) {
  AnswerMetadata facts;
  facts.m_request_id = wire::Get(head.m_headers, kRequestId);
  facts.m_not_run =
      head.m_headers.contains(kNotExecuted) || head.m_status == kMisdirected;
  facts.m_signed = head.m_headers.contains(kStamp);
  facts.m_weights = ParseUnsigned(wire::Get(head.m_headers, kWeightVersion));
  facts.m_statements = DecodeStatements(head);
  return facts;
}

std::vector<std::string> UnknownAnswerFields(const wire::ResponseHead& head) {
  const auto known = [](const std::string& name) {
    return std::find(kKnownAnswerFields.begin(), kKnownAnswerFields.end(),
                     name) != kKnownAnswerFields.end() ||
           std::find(kConnectionFields.begin(), kConnectionFields.end(),
                     name) != kConnectionFields.end();
  };
  std::vector<std::string> unknown;
  for (const auto& [name, value] : head.m_headers) {
    if (!known(name) && !IsStatement(name))
      unknown.push_back(name);
  }
  return unknown;
}

wire::ResponseHead EncodeForCaller(wire::ResponseHead head) {
  DropConnectionFields(head.m_headers);
  return head;
}

wire::Response EncodeRefusal(int status,
                             const std::string& call_id,
                             const std::string& reason,
                             Duration retry_after) {
  wire::Response response = wire::JsonResponse(
      status,
      boost::json::serialize(boost::json::object{{"reason", reason}}) + "\n");
  if (!call_id.empty())
    response.m_headers[kRequestId] = call_id;
  if (retry_after > Duration()) {
    const double seconds = std::chrono::duration<double>(retry_after).count();
    std::string text = std::to_string(seconds);
    response.m_headers[kRetryAfter] = text.substr(0, text.find('.') + 3);
  }
  return response;
}

}  // namespace verbenalead::platform
