#ifndef VERBENALEAD_PLATFORM_ANSWER_FACTS_H_
#define VERBENALEAD_PLATFORM_ANSWER_FACTS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace verbenalead::platform {

/// What a replica's answer says beside its status.
struct AnswerFacts {
  /// The request that it answers; empty: it doesn't say.
  std::string m_request_id;
  /// The replica states that it did not run the request and never will.
  bool m_not_run = false;
  /// It bears the replica's signature.
  bool m_signed = false;
  std::optional<uint64_t> m_weights;

  friend bool operator==(const AnswerFacts&, const AnswerFacts&) = default;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ANSWER_FACTS_H_
