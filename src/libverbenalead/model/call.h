#ifndef VERBENALEAD_MODEL_CALL_H_
#define VERBENALEAD_MODEL_CALL_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenalead::model {

/// Lower is more urgent, as in RFC 9218.
constexpr int kMostUrgent = 0;
constexpr int kDefaultUrgency = 3;
constexpr int kLeastUrgent = 7;

/// A caller's request as admission, placement and retries see it.
class Call {
 public:
  Call() = default;

  /// The request id, by which the call is traced: the caller's own if it sent
  /// one. A caller that sends its request again uses it again.
  const std::string& id() const { return m_id; }
  /// Unique among all calls of all entries.
  const std::string& instance() const { return m_instance; }
  const std::string& organisation() const { return m_organisation; }
  /// The organisation's weight in admission, by its `limits` resource.
  double weight() const { return m_weight; }
  /// The pool of targets that answers it.
  const std::string& pool() const { return m_pool; }
  /// kMostUrgent to kLeastUrgent.
  int urgency() const { return m_urgency; }
  /// When the caller stops waiting.
  TimePoint deadline() const { return m_deadline; }
  /// False: at-most-once; it must carry an idempotency key.
  bool idempotent() const { return m_idempotent; }
  const std::string& idempotency_key() const { return m_idempotency_key; }
  /// Hash of the organisation and the idempotency key or body: the same for a
  /// request that its caller sends again. 0: none.
  uint64_t fingerprint() const { return m_fingerprint; }
  /// Hash of the start of the prompt, for reuse of a cached prefix; 0: none.
  uint64_t prefix() const { return m_prefix; }
  /// Expected work in tokens, for telling long from short.
  uint32_t expected_tokens() const { return m_expected_tokens; }

  friend auto operator<=>(const Call&, const Call&) = default;

 private:
  friend class CallBuilder;

  std::string m_id;
  std::string m_instance;
  std::string m_organisation;
  double m_weight = 1;
  std::string m_pool;
  int m_urgency = kDefaultUrgency;
  TimePoint m_deadline{};
  bool m_idempotent = true;
  std::string m_idempotency_key;
  uint64_t m_fingerprint = 0;
  uint64_t m_prefix = 0;
  uint32_t m_expected_tokens = 0;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_CALL_H_
