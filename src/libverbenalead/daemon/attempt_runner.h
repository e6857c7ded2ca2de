#ifndef VERBENALEAD_DAEMON_ATTEMPT_RUNNER_H_
#define VERBENALEAD_DAEMON_ATTEMPT_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "decide/attempts/attempt_judge.h"
#include "decide/attempts/retry.h"
#include "decide/placement/target_selection.h"
#include "model/call.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// How one attempt at a target ended.
struct AttemptReport {
  decide::AttemptVerdict m_end = decide::AttemptVerdict::kInDoubt;
  std::string m_reason;
  /// The model version that produced the answer, as the target reported it.
  std::string m_version;
  /// A part of the answer has been sent to the caller, so that a retry is not
  /// possible.
  bool m_answer_started = false;
  /// The connection failed, or the answer timed out or was inconsistent. The
  /// target is to be avoided for a while.
  bool m_target_faulty = false;
  /// Attempts running at the target, if the response contained the number.
  std::optional<uint32_t> m_running;
  /// The complete answer, if it was not streamed.
  wire::Response m_answer;
};

/// Sends one attempt to a target over HTTP/2 and classifies its end. An answer
/// counts as complete only if its length and digest are those in the target's
/// trailers. Only an attempt that provably did not run is reported as not run:
/// otherwise a retry could run a call twice.
class AttemptRunner {
 public:
  explicit AttemptRunner(wire::Client& peers) : m_peers(peers) {}

  /// Forwards a stream of server-sent events to `writer` as it arrives. Any
  /// other answer is buffered and returned in the report.
  Awaitable<AttemptReport> Run(model::Call call,
                               decide::Placement placement,
                               uint32_t number,
                               wire::Request request,
                               wire::ResponseWriter& writer);

 private:
  struct Attempt;

  Awaitable<void> ReadAnswer(wire::ResponseReader& reader, Attempt& attempt);
  /// Returns false if the answer ended early.
  Awaitable<bool> ReadAnswerBody(wire::ResponseReader& reader,
                                 Attempt& attempt);
  Awaitable<void> ForwardAnswer(std::string piece, Attempt& attempt);
  /// Writes an error event with the outcome to a stream that is cut short. The
  /// terminator of the chunked encoding is not sent, so that the caller can't
  /// take the stream for complete.
  Awaitable<void> EndWithErrorEvent(Attempt& attempt);
  /// After an attempt that may or may not have started: requests that the
  /// target make it void, over a working connection.
  Awaitable<decide::VoidReply> RequestVoid(const Attempt& attempt);
  static void RecordTransportFailure(Attempt& attempt, const Failure& failure);
  static void EvaluateEnd(const wire::Headers& trailers, Attempt& attempt);

  wire::Client& m_peers;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ATTEMPT_RUNNER_H_
