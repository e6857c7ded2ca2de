#ifndef VERBENALEAD_ENTRY_HEDGE_H_
#define VERBENALEAD_ENTRY_HEDGE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "entry/call_attempt.h"

namespace verbenalead::entry {

/// Sends a call whose replica has become silent to a second replica, while the
/// first attempt continues to be read. The attempt that answers first is kept.
///
///     auto hedge = std::make_shared<Hedge>(executor, services, record,
///                                          [&] { first->Cancel(); });
///     hedge->Watch();
///     ...  // Read from the first attempt.
///     if (hedge->ready())
///       first = hedge->TakeAttempt();
///
/// Failure: a replica pauses for a second or two, because its host is busy or
/// it reads long prompts, and no other replica has a free slot. Symptom: an
/// entry that drops the replica because of the pause cannot continue elsewhere,
/// and cuts off an answer that would have come. Since the first attempt is kept
/// until the second one answers, a pause alone never ends a call.
class Hedge : public std::enable_shared_from_this<Hedge> {
 public:
  /// `on_ready` is called once, when the second attempt has begun to answer.
  Hedge(const boost::asio::any_io_executor& executor,
        CallServices services,
        std::shared_ptr<CallRecord> record,
        std::function<void()> on_ready);

  /// Starts to watch the first replica for silence, until Stop() or
  /// TakeAttempt().
  void Watch();
  /// Called when the first replica has sent data. Cancels a second attempt that
  /// hasn't begun to answer.
  void OnReplicaData();
  /// Stops watching, cancels a second attempt and releases its slot.
  void Stop();
  /// The second attempt has begun to answer, and TakeAttempt() hasn't been
  /// called.
  bool ready() const { return m_ready; }
  /// Returns the second attempt, which the caller then owns, and stops
  /// watching.
  std::shared_ptr<CallAttempt> TakeAttempt();
  /// Called when the first attempt has broken off. Waits for the second attempt
  /// if it was sent; one that has no slot yet is cancelled. True: the second
  /// attempt is ready.
  Awaitable<bool> Finish();

 private:
  /// Calls Run() and keeps `self` alive until it returns.
  static Awaitable<void> RunOwned(std::shared_ptr<Hedge> self);
  Awaitable<void> Run();
  /// Waits until the first replica has been silent for longer than allowed.
  /// False: no second attempt is needed or allowed.
  Awaitable<bool> WaitForSilence();
  /// Makes one attempt at another replica. False: no further attempt is to be
  /// made.
  Awaitable<bool> AttemptOnce();
  /// Whether the second attempt, whose head has been received, can replace the
  /// first. A stream must also deliver a first piece of its body.
  Awaitable<bool> CanReplaceFirst();
  /// Ends the second attempt and releases its slot.
  void EndAttempt();
  Awaitable<void> Pause();
  void Log(const char* outcome) const;

  const CallServices m_services;
  const std::shared_ptr<CallRecord> m_record;
  std::function<void()> m_on_ready;
  /// Expires when the first replica may have been silent for too long; also
  /// used for the pause between two second attempts.
  boost::asio::steady_timer m_silence_timer;
  /// Never expires; cancelled when the second attempt is ready or Run() ends,
  /// to wake Finish().
  boost::asio::steady_timer m_finished;
  std::shared_ptr<CallAttempt> m_attempt;
  bool m_ready = false;
  bool m_stopped = false;
  /// The first attempt has ended: if the second one fails, no other is made.
  bool m_first_ended = false;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_HEDGE_H_
