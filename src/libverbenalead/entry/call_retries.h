#ifndef VERBENALEAD_ENTRY_CALL_RETRIES_H_
#define VERBENALEAD_ENTRY_CALL_RETRIES_H_

#include <cstdint>
#include <string>

#include "entry/entry_state.h"

namespace verbenalead::entry {

/// Why a call is sent to one more replica.
enum class RetryPurpose {
  kRetry,   ///< The last attempt failed or was rejected.
  kResume,  ///< The answer broke off, and its rest is requested elsewhere.
  kHedge,   ///< The current replica is silent.
};

/// The retries of one call, from the decision to the time at which none of the
/// call's attempts can arrive any more.
///
/// Failure: a retry is allowed and then waits seconds for a slot, or the first
/// attempt is held by a link and arrives after its hedge. Symptom: the retry
/// arrives in a later window than the one in which it was counted, beside all
/// retries of that window. So it counts in every window until each attempt of
/// the call that was sent has been answered or reset, and for a whole window
/// after that.
class CallRetries {
 public:
  CallRetries(EntryState& state, std::string service, std::string call);
  ~CallRetries();

  CallRetries(const CallRetries&) = delete;
  CallRetries& operator=(const CallRetries&) = delete;

  /// Whether one more attempt of the call is within the limit on retries of its
  /// service; if so, takes a retry for it. Without the limit, retries would
  /// multiply the load of a service whose replicas fail.
  bool TryTake(RetryPurpose purpose);
  /// Returns one retry whose attempt won't be sent, if there is one.
  void ReturnUnsent();
  /// An attempt is being sent. It uses a retry that was taken, if there is one.
  void NoteSent();
  /// The attempt that was being sent has reached no replica; its retry is left
  /// for the next one.
  void NoteUnreachable();
  /// The attempt has been answered, or reset before an answer.
  void NoteSettled();

 private:
  decide::RetryWindow& window();
  void SettleSent();

  EntryState& m_state;
  const std::string m_service;
  const std::string m_call;
  /// Retries that were taken and whose attempts have not been sent.
  uint32_t m_unsent = 0;
  /// Retries whose attempts have been sent.
  uint32_t m_sent = 0;
  /// Attempts, the first included, that may still arrive.
  uint32_t m_open_attempts = 0;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_RETRIES_H_
