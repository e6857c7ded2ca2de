#ifndef VERBENALEAD_ENTRY_ATTEMPT_H_
#define VERBENALEAD_ENTRY_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>

#include "base/awaitable.h"
#include "base/failure.h"
#include "decide/placement/replica_pool.h"
#include "platform/call_headers.h"
#include "wire/client.h"

namespace verbenalead::entry {

/// Result of sending one request to one replica, up to the head of the answer.
struct AttemptResult {
  decide::AttemptEnd m_end = decide::AttemptEnd::kBroken;
  /// The call may have run: bytes were sent, and the replica didn't report that
  /// it wasn't executed. An at-most-once call must not be retried then.
  bool m_may_have_run = false;
  /// The head of an answer has been received.
  bool m_has_head = false;
  wire::ResponseHead m_head;
  platform::AnswerMetadata m_metadata;
  /// Reads the body; null where there is no answer.
  std::unique_ptr<wire::ResponseReader> m_reader;
  /// Why the attempt failed, for the log.
  std::string m_reason;
  /// Why the request or the reading of the answer failed; absent: no failure,
  /// or the replica ended the answer itself.
  std::optional<FailureCode> m_failure;
};

/// Sends `request` to `endpoint`. Sets the reader in `result`, or the reason
/// and the failure code if the request could not be sent.
Awaitable<void> OpenAttempt(wire::Client& http,
                            Endpoint endpoint,
                            wire::Request request,
                            TimePoint deadline,
                            AttemptResult& result);

/// Waits until `deadline` for the head of the answer and classifies it. An
/// answer that carries another id than `request_id` belongs to another request,
/// and a success without the id or the replica's signature to none; both count
/// as a broken attempt.
Awaitable<void> ReadAnswerHead(std::string request_id,
                               TimePoint deadline,
                               AttemptResult& result);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ATTEMPT_H_
