#include "front/call_parser.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "decide/membership/rendezvous.h"
#include "model/call_builder.h"
#include "model/json_fields.h"
#include "peer/header_names.h"

namespace verbenalead::front {
namespace {

namespace json = boost::json;

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr uint64_t kDefaultTokens = 128;
constexpr uint64_t kMaxTokens = 1 << 20;
/// Number of characters at the start of the prompt that are hashed as its
/// prefix.
constexpr size_t kPrefixCharacters = 256;
constexpr size_t kMaxIdLength = 128;

boost::leaf::error_id Bad(const std::string& reason) {
  return boost::leaf::new_error(
      Failure{FailureCode::kInvalid, "read request", "", reason});
}

boost::leaf::error_id Unknown(const std::string& reason) {
  return boost::leaf::new_error(
      Failure{FailureCode::kNotFound, "read request", "", reason});
}

bool IsPrintableToken(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

Result<std::string> ReadId(const wire::Request& request,
                           const std::string& fallback) {
  const std::string id = wire::Get(request.m_headers, peer::kRequestId);
  if (id.empty())
    return fallback;
  if (!IsPrintableToken(id))
    return Bad("x-request-id must be 1 to 128 printable characters");
  return id;
}

Result<std::string> ReadOrganisation(const wire::Request& request,
                                     const decide::ConfigState& config) {
  const std::string name = wire::Get(request.m_headers, kOrganisationHeader);
  if (name.empty())
    return Bad("header x-organisation is missing");
  if (!config.m_resources.contains({"limits", name}))
    return Unknown("unknown organisation");
  return name;
}

/// Returns the organisation's weight, which sets its share of the slots
/// relative to other organisations; 1 if its limits don't set one.
Result<double> WeightOf(const std::string& organisation,
                        const decide::ConfigState& config) {
  const auto& limits = config.m_resources.at({"limits", organisation});
  BOOST_LEAF_AUTO(spec, model::ParseObject(limits.m_spec, "limits"));
  BOOST_LEAF_AUTO(weight, model::NumberFieldOr(spec, "weight", 1));
  return static_cast<double>(std::max<uint64_t>(weight, 1));
}

uint64_t FingerprintOf(const wire::Request& request,
                       const std::string& organisation) {
  const std::string key = wire::Get(request.m_headers, kIdempotencyKeyHeader);
  const std::string& content = key.empty() ? request.m_body : key;
  return decide::MixHash(
      organisation + "\n" + request.m_method + request.m_path + "\n" + content,
      0);
}

Result<Duration> ReadTimeout(const wire::Request& request) {
  const std::string text = wire::Get(request.m_headers, kTimeoutHeader);
  if (text.empty())
    return kDefaultTimeout;
  int64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 1)
    return Bad("x-timeout-ms must be a whole number of at least 1");
  return std::min<Duration>(std::chrono::milliseconds(value), kMaxTimeout);
}

/// Returns the urgency in a Priority header such as "u=1, i" (RFC 9218); the
/// default urgency if it is missing or invalid.
int ReadUrgency(const wire::Request& request) {
  const std::string text = wire::Get(request.m_headers, kPriorityHeader);
  const size_t at = text.find("u=");
  if (at == std::string::npos || at + 2 >= text.size())
    return model::kDefaultUrgency;
  const int urgency = text[at + 2] - '0';
  const bool valid =
      urgency >= model::kMostUrgent && urgency <= model::kLeastUrgent;
  return valid ? urgency : model::kDefaultUrgency;
}

Result<void> ReadIdempotency(const wire::Request& request,
                             model::CallBuilder& builder) {
  const std::string flag = wire::Get(request.m_headers, kIdempotentHeader);
  if (flag.empty() || flag == "true")
    return {};
  if (flag != "false")
    return Bad("x-idempotent must be true or false");
  const std::string key = wire::Get(request.m_headers, kIdempotencyKeyHeader);
  if (!IsPrintableToken(key))
    return Bad(
        "a non-idempotent request needs an idempotency-key of 1 to 128 "
        "printable characters");
  builder.NotIdempotent(key);
  return {};
}

Result<void> ReadCompletion(const wire::Request& request,
                            const decide::ConfigState& config,
                            model::CallBuilder& builder) {
  BOOST_LEAF_AUTO(body, model::ParseObject(request.m_body, "request body"));
  BOOST_LEAF_AUTO(name, model::TextField(body, "model"));
  BOOST_LEAF_AUTO(prompt, model::TextField(body, "prompt"));
  BOOST_LEAF_AUTO(tokens,
                  model::NumberFieldOr(body, "max_tokens", kDefaultTokens));
  BOOST_LEAF_CHECK(model::FlagFieldOr(body, "stream", false));
  if (tokens < 1 || tokens > kMaxTokens)
    return Bad("field 'max_tokens' must be from 1 to 1048576");
  const auto pool = decide::PoolForModel(config, name);
  if (!pool)
    return Unknown("unknown model");
  builder.Pool(*pool).ExpectedTokens(static_cast<uint32_t>(tokens));
  builder.Prefix(decide::MixHash(prompt.substr(0, kPrefixCharacters), 0));
  return {};
}

Result<void> ReadService(const wire::Request& request,
                         const decide::ConfigState& config,
                         model::CallBuilder& builder) {
  const std::string path = wire::PathOf(request);
  const size_t start = kServicePrefix.size();
  const std::string name = path.substr(start, path.find('/', start) - start);
  const auto pool = decide::PoolForService(config, name);
  if (!pool)
    return Unknown("unknown service");
  builder.Pool(*pool);
  return {};
}

}  // namespace

Result<model::Call> ParseCall(const wire::Request& request,
                              const decide::ConfigState& config,
                              const std::string& id,
                              TimePoint now) {
  model::CallBuilder builder;
  BOOST_LEAF_AUTO(call_id, ReadId(request, id));
  BOOST_LEAF_AUTO(organisation, ReadOrganisation(request, config));
  BOOST_LEAF_AUTO(weight, WeightOf(organisation, config));
  BOOST_LEAF_AUTO(timeout, ReadTimeout(request));
  builder.Id(call_id)
      .Instance(id)
      .Organisation(organisation)
      .Deadline(now + timeout);
  builder.Weight(weight).Fingerprint(FingerprintOf(request, organisation));
  builder.Urgency(ReadUrgency(request));
  BOOST_LEAF_CHECK(ReadIdempotency(request, builder));
  const std::string path = wire::PathOf(request);
  if (path == kCompletionsPath) {
    if (request.m_method != "POST")
      return Bad("use POST");
    BOOST_LEAF_CHECK(ReadCompletion(request, config, builder));
  } else if (path.starts_with(kServicePrefix)) {
    BOOST_LEAF_CHECK(ReadService(request, config, builder));
  } else {
    return Unknown("unknown path");
  }
  return builder.Build();
}

std::string TargetPath(const wire::Request& request) {
  if (!request.m_path.starts_with(kServicePrefix))
    return request.m_path;
  const size_t slash = request.m_path.find('/', kServicePrefix.size());
  return slash == std::string::npos ? "/" : request.m_path.substr(slash);
}

}  // namespace verbenalead::front
