#ifndef VERBENALEAD_ENTRY_HEDGE_H_
#define VERBENALEAD_ENTRY_HEDGE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "entry/call_attempt.h"

namespace verbenalead::entry {

/// Gives a call whose replica has fallen silent a second attempt at another
/// one, beside the first, which goes on being read. Whichever answers first is
/// kept.
///
///     auto hedge = std::make_shared<Hedge>(executor, services, record,
///                                          [&] { first->Cancel(); });
///     hedge->Watch();
///     ...  // Read from the first attempt.
///     if (hedge->ready())
///       first = hedge->Take();
///
/// Failure: a replica pauses for a second or two, as its host is busy or it
/// reads long prompts, and no other has a place. Symptom: an entry that drops
/// it for its silence has nothing to go on with, and cuts an answer that would
/// have come. With the first attempt kept until the second one answers, silence
/// alone ends nothing.
class Hedge : public std::enable_shared_from_this<Hedge> {
 public:
  /// `on_ready` is called, once, when the second attempt has begun to answer.
  Hedge(const boost::asio::any_io_executor& executor,
        CallServices services,
        std::shared_ptr<CallRecord> record,
        std::function<void()> on_ready);

  /// Watches from now on, until Stop() or Take().
  void Watch();
  /// The first replica was heard again: a second attempt isn't wanted now.
  void NoteHeard();
  /// Nothing more is wanted; what it holds is given back.
  void Stop();
  /// The second attempt has begun to answer and waits to be taken.
  bool ready() const { return m_ready; }
  std::shared_ptr<CallAttempt> Take();
  /// The first attempt broke off: waits for the second, if it is on its way.
  /// True: it is ready. A second attempt that has no place yet is given up.
  Awaitable<bool> Finish();

 private:
  /// Run(), with `self` kept until it is over.
  static Awaitable<void> RunHeld(std::shared_ptr<Hedge> self);
  Awaitable<void> Run();
  /// Waits until the first replica has been silent for too long; false: no
  /// second attempt is wanted.
  Awaitable<bool> WaitForSilence();
  /// Makes one attempt at another replica; false: there is no use in one more.
  Awaitable<bool> AttemptOnce();
  /// Whether the second attempt, whose head is there, goes on with the answer.
  Awaitable<bool> Proves();
  /// The second attempt came to nothing.
  void Drop();
  Awaitable<void> Pause();
  void Log(const char* outcome) const;

  const CallServices m_services;
  const std::shared_ptr<CallRecord> m_record;
  std::function<void()> m_on_ready;
  /// Sleeps while the first replica is heard.
  boost::asio::steady_timer m_silence;
  /// Expires when the second attempt has come to something.
  boost::asio::steady_timer m_finished;
  std::shared_ptr<CallAttempt> m_attempt;
  bool m_ready = false;
  bool m_stopped = false;
  /// The first attempt is over: one second attempt that fails is the last.
  bool m_alone = false;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_HEDGE_H_
