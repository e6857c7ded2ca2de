#include "target/digest_learner.h"

#include <algorithm>

#include "base/log.h"
#include "decide/rendezvous.h"
#include "target/chunk_paths.h"
#include "target/transfer_members.h"

namespace verbenalead::target {
namespace {

constexpr Duration kOriginTimeout = 3s;
/// Hosts that ask the origin for the digests of a version, and how many of them
/// each other host asks. 76 hosts that all asked the origin held up its first
/// chunks by half a second.
constexpr uint64_t kDigestReaders = 4;
constexpr size_t kHostsAsked = 2;
constexpr Duration kDigestsTimeout = 300ms;
constexpr int kDigestTries = 3;
/// A host that learns nothing from those asks the origin itself after this.
constexpr Duration kDigestsPatience = 1s;
/// Pause after the digests couldn't be had.
constexpr Duration kLeastDigestsPause = 80ms;
constexpr Duration kMostDigestsPause = 160ms;

/// An answer that was given twice.
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

Awaitable<bool> DigestLearner::Learn(uint64_t version) {
  if (m_state.m_cache.Find(version))
    co_return true;
  const TimePoint since = m_wanted.try_emplace(version, Now()).first->second;
  if (Now() < m_next)
    co_return false;
  std::vector<std::vector<Digest>> answers = co_await ReadFromHosts(version);
  auto agreed = FindAgreed(answers);
  if (!agreed && (ReadsOrigin(version) || Now() - since > kDigestsPatience))
    agreed = co_await ReadFromOrigin(version, std::move(answers));
  if (agreed) {
    m_state.m_cache.Begin(version, *agreed);
    m_wanted.erase(version);
    co_return true;
  }
  m_next = Now() + Duration(std::uniform_int_distribution<int64_t>(
                       kLeastDigestsPause.count(),
                       kMostDigestsPause.count())(m_state.m_random));
  co_return false;
}

std::set<std::string> DigestLearner::Readers(uint64_t version) const {
  std::vector<std::string> hosts = {m_state.m_options.m_peers.address()};
  for (const decide::TransferMember& member : OtherMembers(m_state))
    hosts.push_back(member.m_name);
  std::sort(hosts.begin(), hosts.end());
  std::set<std::string> readers;
  for (uint64_t number = 0; number < kDigestReaders; ++number)
    readers.insert(decide::RendezvousChoice(
        hosts, static_cast<uint32_t>(version * kDigestReaders + number)));
  return readers;
}

bool DigestLearner::ReadsOrigin(uint64_t version) const {
  return Readers(version).contains(m_state.m_options.m_peers.address());
}

Awaitable<std::optional<std::vector<Digest>>> DigestLearner::ReadFromOrigin(
    uint64_t version,
    std::vector<std::vector<Digest>> answers) {
  for (int tries = 0; tries < kDigestTries; ++tries) {
    auto digests = co_await m_origin.ReadDigests(
        m_state.m_origin, m_state.m_engine->m_model, version,
        Now() + kOriginTimeout);
    if (!digests) {
      LogLine("digests_not_read")
          .With("version", version)
          .With(digests.error())
          .Warn();
      break;
    }
    if (digests->size() == m_state.m_engine->m_chunks)
      answers.push_back(std::move(*digests));
    if (auto agreed = FindAgreed(answers))
      co_return agreed;
  }
  co_return std::nullopt;
}

Awaitable<std::vector<std::vector<Digest>>> DigestLearner::ReadFromHosts(
    uint64_t version) {
  std::vector<std::vector<Digest>> answers;
  std::set<std::string> readers = Readers(version);
  readers.erase(m_state.m_options.m_peers.address());
  std::vector<std::string> hosts(readers.begin(), readers.end());
  std::shuffle(hosts.begin(), hosts.end(), m_state.m_random);
  if (hosts.size() > kHostsAsked)
    hosts.resize(kHostsAsked);
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
  co_return answers;
}

}  // namespace verbenalead::target
