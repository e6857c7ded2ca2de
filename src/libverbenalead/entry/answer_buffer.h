#ifndef VERBENALEAD_ENTRY_ANSWER_BUFFER_H_
#define VERBENALEAD_ENTRY_ANSWER_BUFFER_H_

#include <cstddef>
#include <string>
#include <utility>

namespace verbenalead::entry {

/// Longest answer of a plain replica that is passed on.
constexpr size_t kMaxAnswerBytes = size_t{8} << 20;
/// Most bytes of all answers that an entry holds at a time. A host of an entry
/// has 260 MB.
constexpr size_t kMaxHeldBytes = size_t{64} << 20;
/// An answer up to this length has room whatever the others hold, so that a few
/// long ones, or callers that read slowly, don't fail all calls. A replica's
/// slots bound the number of answers.
constexpr size_t kAlwaysHeldBytes = 64 * 1024;

/// Holds an answer until it is complete and the caller has read it.
///
/// Failure: a replica sends a body without end. Symptom: the entry runs out of
/// memory and ends, with all its calls. The answer is given up at the limits,
/// and the call goes to another replica if it may.
class AnswerBuffer {
 public:
  /// `held`: bytes of all answers of this entry; outlives this.
  explicit AnswerBuffer(size_t& held) : m_held(held) {}
  ~AnswerBuffer() { m_held -= m_counted; }
  AnswerBuffer(const AnswerBuffer&) = delete;
  AnswerBuffer& operator=(const AnswerBuffer&) = delete;

  /// False: `piece` would exceed a limit, and was not appended.
  bool TryAppend(const std::string& piece) {
    const size_t size = m_text.size() + piece.size();
    if (size > kMaxAnswerBytes ||
        (size > kAlwaysHeldBytes && m_held + piece.size() > kMaxHeldBytes))
      return false;
    m_text += piece;
    m_held += piece.size();
    m_counted += piece.size();
    return true;
  }
  /// The text counts as held until this object is destroyed.
  std::string Take() { return std::move(m_text); }

 private:
  size_t& m_held;
  size_t m_counted = 0;
  std::string m_text;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ANSWER_BUFFER_H_
