#ifndef VERBENALEAD_DAEMON_ANSWER_CHECK_H_
#define VERBENALEAD_DAEMON_ANSWER_CHECK_H_

#include <cstdint>
#include <string>

#include "base/sha256_hasher.h"
#include "wire/headers.h"

namespace verbenalead::daemon {

/// Length and digest of an answer, taken piece by piece. The target puts them
/// into the trailers and the entry compares: bytes lost, doubled or mixed up on
/// the way never reach a caller as a whole answer.
class AnswerCheck {
 public:
  void Add(const std::string& piece);
  /// Writes what was added; at the end of the answer, once.
  void Fill(wire::Headers& trailers);
  /// Compares; at the end of the answer, once.
  bool Agrees(const wire::Headers& trailers);
  uint64_t length() const { return m_length; }

 private:
  Sha256Hasher m_hasher;
  uint64_t m_length = 0;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ANSWER_CHECK_H_
