#include "target/digest_reader.h"

#include <algorithm>

#include "base/log.h"
#include "decide/transfer/digest_read_order.h"
#include "target/chunk_paths.h"
#include "target/transfer_members.h"

namespace verbenalead::target {
namespace {

constexpr Duration kOriginTimeout = 3s;
/// While the origin is unavailable, a connection that hangs must not delay the
/// next attempt.
constexpr Duration kUnavailableOriginTimeout = 300ms;
/// Where hosts prepare for outages: a request that hangs because the origin has
/// become unavailable must not delay the next attempt until after its return.
constexpr Duration kScarceOriginTimeout = 1s;
/// Number of hosts from which the digests are requested, among those first in
/// line at the origin (`decide::kDigestReaders`).
constexpr size_t kMaxHostsQueried = 2;
constexpr Duration kDigestsTimeout = 300ms;
constexpr int kMaxOriginAttempts = 3;
/// Bounds of the random pause after a failure to obtain the digests.
constexpr Duration kMinRetryPause = 80ms;
constexpr Duration kMaxRetryPause = 160ms;

Duration OriginTimeout(const TargetState& state) {
  if (!PreparesForOutages(state))
    return kOriginTimeout;
  return state.m_origin_unavailable ? kUnavailableOriginTimeout
                                    : kScarceOriginTimeout;
}

/// An answer that two sources gave, or that the origin gave twice.
std::optional<std::vector<Digest>> FindAgreed(
    const std::vector<std::vector<Digest>>& answers) {
  for (size_t first = 0; first < answers.size(); ++first) {
    for (size_t second = first + 1; second < answers.size(); ++second) {
      if (answers[first] == answers[second])
        return answers[first];
    }
  }
  return std::nullopt;
}

}  // namespace

Awaitable<bool> DigestReader::Obtain(uint64_t version) {
  if (m_state.m_cache.Find(version))
    co_return true;
  const TimePoint since =
      m_missing_since.try_emplace(version, Now()).first->second;
  if (Now() < m_next)
    co_return false;
  const std::vector<std::string> order = Order(version);
  const auto rank = static_cast<size_t>(
      std::find(order.begin(), order.end(), Self()) - order.begin());
  std::vector<std::vector<Digest>> answers;
  for (const decide::DigestSource source : decide::DigestSources(
           rank, Now() - since, PreparesForOutages(m_state))) {
    if (source == decide::DigestSource::kHosts)
      co_await ReadFromHosts(version, order, answers);
    else
      co_await ReadFromOrigin(version, answers);
    const auto agreed = FindAgreed(answers);
    if (!agreed)
      continue;
    m_state.m_cache.AddVersion(version, *agreed);
    m_missing_since.erase(version);
    co_return true;
  }
  m_next = Now() + Duration(std::uniform_int_distribution<int64_t>(
                       kMinRetryPause.count(),
                       kMaxRetryPause.count())(m_state.m_random));
  co_return false;
}

std::string DigestReader::Self() const {
  return m_state.m_options.m_peers.address();
}

std::vector<std::string> DigestReader::Order(uint64_t version) const {
  std::vector<std::string> hosts = {Self()};
  for (const decide::TransferMember& member : OtherMembers(m_state))
    hosts.push_back(member.m_name);
  return decide::DigestReadOrder(std::move(hosts), version);
}

Awaitable<void> DigestReader::ReadFromOrigin(
    uint64_t version,
    std::vector<std::vector<Digest>>& answers) {
  const Duration timeout = OriginTimeout(m_state);
  for (int attempts = 0; attempts < kMaxOriginAttempts; ++attempts) {
    auto digests = co_await m_origin.ReadDigests(
        m_state.m_origin, m_state.m_engine->m_model, version, Now() + timeout);
    if (!digests) {
      LogLine("digests_not_read")
          .With("version", version)
          .With(digests.error())
          .Warn();
      // Failure: the origin is unavailable for so long that many hosts may read
      // from it. Symptom: all of them do when it returns, and their answers
      // delay the first chunks. The delays count from the last failure, so that
      // again the first hosts read at once and the others request from them.
      if (PreparesForOutages(m_state))
        m_missing_since[version] = Now();
      break;
    }
    if (digests->size() == m_state.m_engine->m_chunks)
      answers.push_back(std::move(*digests));
    if (FindAgreed(answers))
      break;
  }
}

Awaitable<void> DigestReader::ReadFromHosts(
    uint64_t version,
    std::vector<std::string> order,
    std::vector<std::vector<Digest>>& answers) {
  std::vector<std::string> hosts = std::move(order);
  hosts.resize(std::min(hosts.size(), decide::kDigestReaders));
  std::erase(hosts, Self());
  std::shuffle(hosts.begin(), hosts.end(), m_state.m_random);
  if (hosts.size() > kMaxHostsQueried)
    hosts.resize(kMaxHostsQueried);
  for (const std::string& host : hosts) {
    wire::Request request;
    request.m_path = DigestsPath(m_state.m_engine->m_model, version);
    const Endpoint endpoint(host, m_state.m_options.m_peers.port());
    auto response = co_await wire::Fetch(m_peers, endpoint, std::move(request),
                                         Now() + kDigestsTimeout);
    if (!response || response->m_status != 200)
      continue;
    auto digests = ParseDigests(response->m_body);
    if (digests.size() == m_state.m_engine->m_chunks)
      answers.push_back(std::move(digests));
  }
}

}  // namespace verbenalead::target
