#ifndef VERBENALEAD_TARGET_DIGEST_LEARNER_H_
#define VERBENALEAD_TARGET_DIGEST_LEARNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/origin_client.h"
#include "target/target_state.h"
#include "wire/client.h"

namespace verbenalead::target {

/// Learns the digests of versions, from other hosts and the origin. Not safe
/// for concurrent use.
class DigestLearner {
 public:
  DigestLearner(TargetState& state,
                wire::Client& peers,
                platform::OriginClient& origin)
      : m_state(state), m_peers(peers), m_origin(origin) {}

  /// Brings the digests of `version` into the cache; false: they are not to be
  /// had now. What the origin sends may be wrong, and so may be what another
  /// host took from it: two answers must agree.
  Awaitable<bool> Learn(uint64_t version);

 private:
  std::string Self() const;
  /// The hosts of the service, those first that ask the origin for the digests
  /// of `version`.
  std::vector<std::string> Order(uint64_t version) const;
  /// What two of `answers` and of the origin's say.
  Awaitable<std::optional<std::vector<Digest>>> ReadFromOrigin(
      uint64_t version,
      std::vector<std::vector<Digest>> answers);
  /// Digests that other hosts tell, as many as answer.
  Awaitable<std::vector<std::vector<Digest>>> ReadFromHosts(
      uint64_t version,
      std::vector<std::string> order);

  TargetState& m_state;
  wire::Client& m_peers;
  platform::OriginClient& m_origin;
  /// Versions whose digests are wanted, and since when.
  std::map<uint64_t, TimePoint> m_wanted;
  /// None are asked for before.
  TimePoint m_next{};
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_DIGEST_LEARNER_H_
