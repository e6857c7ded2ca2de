#ifndef VERBENALEAD_TARGET_DIGEST_READER_H_
#define VERBENALEAD_TARGET_DIGEST_READER_H_

#include <map>
#include <string>
#include <vector>

#include "platform/origin_client.h"
#include "target/target_state.h"
#include "wire/client.h"

namespace verbenalead::target {

/// Obtains the digests of versions from other hosts and from the origin. Not
/// safe for concurrent use.
class DigestReader {
 public:
  DigestReader(TargetState& state,
               wire::Client& peers,
               platform::OriginClient& origin)
      : m_state(state), m_peers(peers), m_origin(origin) {}

  /// Adds `version` with its digests to the cache; returns false if they can't
  /// be obtained now. The origin may send wrong digests, and another host may
  /// have accepted and passed on wrong ones, so two answers must agree.
  Awaitable<bool> Obtain(uint64_t version);
  /// The origin has returned: the next call of Obtain() needn't wait for the
  /// pause after a failure.
  void EndRetryPause() { m_next = {}; }

 private:
  std::string Self() const;
  /// The hosts of the service, including this one, in the order in which they
  /// request the digests of `version` from the origin.
  std::vector<std::string> Order(uint64_t version) const;
  /// Requests the digests from the origin until two of `answers` agree; adds
  /// those received.
  Awaitable<void> ReadFromOrigin(uint64_t version,
                                 std::vector<std::vector<Digest>>& answers);
  /// Requests the digests from a few hosts of `order`; adds those received.
  Awaitable<void> ReadFromHosts(uint64_t version,
                                std::vector<std::string> order,
                                std::vector<std::vector<Digest>>& answers);

  TargetState& m_state;
  wire::Client& m_peers;
  platform::OriginClient& m_origin;
  /// Versions whose digests are missing, with the time of the first attempt to
  /// obtain them, or of the last one to read them from the origin that failed.
  std::map<uint64_t, TimePoint> m_missing_since;
  /// Earliest time of the next attempt.
  TimePoint m_next{};
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_DIGEST_READER_H_
