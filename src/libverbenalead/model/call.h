#ifndef VERBENALEAD_MODEL_CALL_H_
#define VERBENALEAD_MODEL_CALL_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenalead::model {

/// Urgency of a call. Lower values are more urgent, as in RFC 9218.
constexpr int kMostUrgent = 0;
constexpr int kDefaultUrgency = 3;
constexpr int kLeastUrgent = 7;

/// A caller's request with the properties that admission, placement and retries
/// depend on.
class Call {
 public:
  Call() = default;

  /// The request id under which the call is traced; the caller's id if it sent
  /// one. If the caller retries the request under that id, both calls have the
  /// same id.
  const std::string& id() const { return m_id; }
  /// Identifies this call uniquely among the calls of all entries, unlike id().
  const std::string& instance() const { return m_instance; }
  const std::string& organisation() const { return m_organisation; }
  /// The organisation's weight in admission, from its `limits` resource.
  double weight() const { return m_weight; }
  /// The pool of targets that the call may be sent to.
  const std::string& pool() const { return m_pool; }
  /// From kMostUrgent to kLeastUrgent.
  int urgency() const { return m_urgency; }
  /// The time at which the caller stops waiting.
  TimePoint deadline() const { return m_deadline; }
  /// Whether the call may be executed more than once. If false, it is
  /// at-most-once and must have an idempotency key.
  bool idempotent() const { return m_idempotent; }
  const std::string& idempotency_key() const { return m_idempotency_key; }
  /// Hash of the organisation, method, path and idempotency key; without
  /// a key, the body instead. A retry of the request by its caller has the same
  /// value. 0 means no fingerprint.
  uint64_t fingerprint() const { return m_fingerprint; }
  /// Hash of the start of the prompt, used to select a target that has the
  /// prefix cached. 0 means no prefix.
  uint64_t prefix() const { return m_prefix; }
  /// Expected work in tokens; distinguishes long calls from short ones.
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
