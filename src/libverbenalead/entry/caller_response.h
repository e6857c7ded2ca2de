#ifndef VERBENALEAD_ENTRY_CALLER_RESPONSE_H_
#define VERBENALEAD_ENTRY_CALLER_RESPONSE_H_

#include <functional>
#include <string>

#include "entry/call_record.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// Why a response with `status` doesn't reach the caller of a call that may
/// have run.
std::string WithheldReason(int status);

/// The response to the caller of one admitted call. No other code of a call
/// writes to its caller.
///
/// Failure: a replica runs a call and ends it with a status that promises that
/// it has not run, such as 503. Symptom: the caller repeats an at-most-once
/// call, which runs twice. Every head of a response goes out here, whichever
/// attempt or refusal it comes from, and is compared with what is known of the
/// call's attempts; a false promise is replaced by a failure that promises
/// nothing.
class CallerResponse {
 public:
  CallerResponse(wire::ResponseWriter& writer,
                 EntryState& state,
                 const CallRecord& record)
      : m_writer(writer), m_state(state), m_record(record) {}

  /// Whether a response with `status` reaches the caller as it is. Otherwise
  /// Send() and Start() replace it.
  bool MaySend(int status) const;
  /// Status of a failure that promises nothing: 504 after the call's deadline,
  /// else 502.
  int FailureStatus() const;

  /// These are as in wire::ResponseWriter.
  Awaitable<bool> Send(wire::Response response);
  Awaitable<bool> Start(wire::ResponseHead head);
  Awaitable<bool> Write(std::string bytes);
  Awaitable<bool> Finish();
  bool disconnected() const { return m_writer.disconnected(); }
  void OnDisconnect(std::function<void()> function) {
    m_writer.OnDisconnect(std::move(function));
  }

  /// Status of the head that was sent; 0: none yet.
  int sent_status() const { return m_sent_status; }

 private:
  /// The failure that replaces a response with `status`.
  wire::Response ReplacementFor(int status);

  wire::ResponseWriter& m_writer;
  EntryState& m_state;
  const CallRecord& m_record;
  int m_sent_status = 0;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALLER_RESPONSE_H_
