#ifndef VERBENALEAD_DAEMON_ATTEMPT_RUNNER_H_
#define VERBENALEAD_DAEMON_ATTEMPT_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "decide/attempt_judge.h"
#include "decide/place.h"
#include "decide/retry.h"
#include "model/call.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// How one attempt at a target ended.
struct AttemptReport {
  decide::AttemptEnd m_end = decide::AttemptEnd::kDoubtful;
  std::string m_reason;
  /// The version that the target answered with.
  std::string m_version;
  /// Bytes have gone to the caller.
  bool m_answer_begun = false;
  /// The target did not behave: leave it alone for a while.
  bool m_broken = false;
  /// Attempts that ran at the target, if it said so.
  std::optional<uint32_t> m_running;
  /// A whole answer that was not streamed.
  wire::Response m_answer;
};

/// Sends one attempt to a target over HTTP/2 and judges what comes back. An
/// answer is whole only if its length and digest agree with what the target
/// says at its end.
class AttemptRunner {
 public:
  explicit AttemptRunner(wire::Client& peers) : m_peers(peers) {}

  /// A server-sent event stream goes to `writer` as it comes; any other answer
  /// is returned whole in the report.
  Awaitable<AttemptReport> Run(model::Call call,
                               decide::Placement placement,
                               uint32_t number,
                               wire::Request request,
                               wire::ResponseWriter& writer);

 private:
  struct Attempt;

  Awaitable<void> ReadAnswer(wire::ResponseReader& reader, Attempt& attempt);
  /// False: the answer did not come to its end.
  Awaitable<bool> ReadPieces(wire::ResponseReader& reader, Attempt& attempt);
  Awaitable<void> PassOn(std::string piece, Attempt& attempt);
  /// Tells the caller of a stream that is cut short how it ended; its chunked
  /// end is withheld.
  Awaitable<void> BreakOff(Attempt& attempt);
  /// After an attempt whose fate is in doubt: asks the target, over a
  /// connection that works, to make it void.
  Awaitable<decide::VoidReply> MakeVoid(const Attempt& attempt);
  static void NoteLoss(Attempt& attempt, const Failure& failure);
  static void JudgeEnd(const wire::Headers& trailers, Attempt& attempt);

  wire::Client& m_peers;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ATTEMPT_RUNNER_H_
