#include "peer/credentials.h"

#include <chrono>
#include <cstdlib>

#include "base/digest.h"
#include "base/log.h"
#include "base/new_id.h"
#include "base/secret.h"
#include "peer/header_names.h"

namespace verbenalead::peer {
namespace {

/// Maximum difference between the time of a proof and the current time. The
/// clocks of hosts differ, and a message may wait in a suspended process.
constexpr int64_t kMaxProofAgeMs = 60000;

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool IsRead(const wire::Request& request) {
  return request.m_method == "GET";
}

/// Returns the text that the proof covers. It includes the fields of the
/// attempt: without them, a proof could be copied from one message to another.
std::string ProofInput(const wire::Request& request, const std::string& stamp) {
  std::string text = request.m_method + "\n" + request.m_path + "\n" + stamp;
  for (const char* name : {kRequestId, kAttempt, kIncarnation, kPath, kMethod,
                           kOrganisation, kDigest})
    text += "\n" + wire::Get(request.m_headers, name);
  return text + "\n" + ToString(Sha256(request.m_body));
}

Awaitable<void> Answer(const Credentials& credentials,
                       wire::Handler handler,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (credentials.Accepts(request)) {
    co_await handler(request, writer);
    co_return;
  }
  LogLine("credentials_refused")
      .With("peer", request.m_peer)
      .With("step", request.m_method + " " + request.m_path)
      .Warn();
  wire::Response response{403, {}, "bad credentials"};
  response.m_headers[kOutcome] = "refused";
  response.m_headers[kReason] = "bad_credentials";
  for (const char* name : {kRequestId, kAttempt})
    response.m_headers[name] = wire::Get(request.m_headers, name);
  co_await writer.Send(std::move(response));
}

}  // namespace

AsyncResult<bool> Credentials::Load() {
  if (m_path.empty())
    return true;
  auto keys = ReadSecrets(m_path);
  if (!keys)
    return keys.error();
  std::lock_guard lock(m_mutex);
  m_keys = std::move(*keys);
  return true;
}

std::vector<std::string> Credentials::Keys() const {
  std::lock_guard lock(m_mutex);
  return m_keys;
}

void Credentials::Sign(wire::Request& request) const {
  if (m_path.empty() || IsRead(request))
    return;
  const std::vector<std::string> keys = Keys();
  if (keys.empty())
    return;
  const std::string stamp = std::to_string(UnixMilliseconds()) + "." + NewId();
  request.m_headers[kAuthorization] =
      stamp + "." + HmacSha256(keys.front(), ProofInput(request, stamp));
}

bool Credentials::Accepts(const wire::Request& request) const {
  if (m_path.empty() || IsRead(request))
    return true;
  const std::string proof = wire::Get(request.m_headers, kAuthorization);
  const size_t dot = proof.rfind('.');
  if (dot == std::string::npos)
    return false;
  const std::string stamp = proof.substr(0, dot);
  const int64_t age =
      UnixMilliseconds() - std::strtoll(stamp.c_str(), nullptr, 10);
  if (std::abs(age) > kMaxProofAgeMs)
    return false;
  const std::string input = ProofInput(request, stamp);
  bool good = false;
  for (const std::string& key : Keys())
    good |= EqualSecrets(HmacSha256(key, input), proof.substr(dot + 1));
  return good;
}

wire::Handler RequireCredentials(const Credentials& credentials,
                                 wire::Handler handler) {
  return [&credentials, handler = std::move(handler)](
             const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(credentials, handler, request, writer);
  };
}

}  // namespace verbenalead::peer
