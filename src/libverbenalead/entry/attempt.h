#ifndef VERBENALEAD_ENTRY_ATTEMPT_H_
#define VERBENALEAD_ENTRY_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>

#include "base/awaitable.h"
#include "base/failure.h"
#include "decide/replica_pool.h"
#include "platform/call_headers.h"
#include "wire/client.h"

namespace verbenalead::entry {

/// One request at one replica, up to the head of its answer.
struct AttemptResult {
  decide::AttemptEnd m_end = decide::AttemptEnd::kBroken;
  /// It may have run: bytes went out, and nothing says that it didn't.
  bool m_may_have_run = false;
  wire::ResponseHead m_head;
  platform::AnswerFacts m_facts;
  /// Reads the body; null where there is no answer.
  std::unique_ptr<wire::ResponseReader> m_reader;
  /// What went wrong.
  std::string m_reason;
  /// Why no more of the answer came; absent: it did, or the replica ended it.
  std::optional<FailureCode> m_failure;
};

/// Sends `request` to `endpoint`. `result` has a reader then, or why not.
Awaitable<void> OpenAttempt(wire::Client& http,
                            Endpoint endpoint,
                            wire::Request request,
                            TimePoint deadline,
                            AttemptResult& result);

/// Waits for the head of the answer until `deadline`. `request_id`: an answer
/// to another request is none.
Awaitable<void> ReadAnswerHead(std::string request_id,
                               TimePoint deadline,
                               AttemptResult& result);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ATTEMPT_H_
