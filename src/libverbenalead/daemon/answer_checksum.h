#ifndef VERBENALEAD_DAEMON_ANSWER_CHECKSUM_H_
#define VERBENALEAD_DAEMON_ANSWER_CHECKSUM_H_

#include <cstdint>
#include <string>

#include "base/sha256_hasher.h"
#include "wire/headers.h"

namespace verbenalead::daemon {

/// Computes the length and the SHA-256 digest of an answer while it is
/// streamed. The target sends both in the trailers, and the entry compares them
/// with what it received. Without this check an answer that lost, duplicated or
/// reordered bytes between the two could reach a caller as a complete answer.
class AnswerChecksum {
 public:
  void Add(const std::string& piece);
  /// Writes length and digest of the added pieces to `trailers`. To be called
  /// once, at the end of the answer.
  void WriteTrailers(wire::Headers& trailers);
  /// True if length and digest of the added pieces are those in `trailers`. To
  /// be called once, at the end of the answer.
  bool MatchesTrailers(const wire::Headers& trailers);
  uint64_t length() const { return m_length; }

 private:
  Sha256Hasher m_hasher;
  uint64_t m_length = 0;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ANSWER_CHECKSUM_H_
