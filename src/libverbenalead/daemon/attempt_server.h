#ifndef VERBENALEAD_DAEMON_ATTEMPT_SERVER_H_
#define VERBENALEAD_DAEMON_ATTEMPT_SERVER_H_

#include <atomic>
#include <string>

#include "backends/engine.h"
#include "daemon/guarded_gate.h"
#include "daemon/journal.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// Serves the attempts that entries send to this target: admits each one at the
/// gate, forwards it to the engine or plain service, and streams the answer
/// back. A refused attempt is made void, so that a late copy of its message
/// doesn't run. Thread-safe.
class AttemptServer {
 public:
  AttemptServer(std::string host,
                GuardedGate& gate,
                backends::Engine& engine,
                Journal& journal)
      : m_host(std::move(host)),
        m_gate(gate),
        m_engine(engine),
        m_journal(journal) {}

  /// Answers POST /v1/attempt.
  Awaitable<void> Serve(wire::Request request, wire::ResponseWriter& writer);
  /// Attempts whose answers or refusals have not yet been written to the
  /// socket.
  int serving() const { return m_serving; }
  /// Answers POST /v1/void.
  wire::Response HandleVoid(const wire::Request& request);

 private:
  struct AdmittedAttempt;

  Awaitable<void> ServeAttempt(wire::Request request,
                               wire::ResponseWriter& writer);
  Awaitable<void> Forward(AdmittedAttempt admitted,
                          wire::Request request,
                          wire::ResponseWriter& writer);
  Awaitable<void> ForwardAnswer(AdmittedAttempt admitted,
                                wire::ResponseReader& reader,
                                wire::ResponseHead head,
                                wire::ResponseWriter& writer);
  Awaitable<void> Refuse(AdmittedAttempt admitted,
                         std::string reason,
                         wire::ResponseWriter& writer);
  bool MayForwardAnswer(const AdmittedAttempt& admitted,
                        const Digest& reported);

  const std::string m_host;
  GuardedGate& m_gate;
  backends::Engine& m_engine;
  Journal& m_journal;
  std::atomic<int> m_serving{0};
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ATTEMPT_SERVER_H_
