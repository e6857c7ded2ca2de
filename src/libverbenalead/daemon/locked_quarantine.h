#ifndef VERBENALEAD_DAEMON_LOCKED_QUARANTINE_H_
#define VERBENALEAD_DAEMON_LOCKED_QUARANTINE_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "decide/health/quarantine.h"

namespace verbenalead::daemon {

/// The quarantine of the entry with a lock around it: the requests that must
/// not run because targets crashed under them. May be used from several
/// threads.
class LockedQuarantine {
 public:
  /// Sets the function that is called, from any thread, after each crash that
  /// has to be reported to the other entries. Must be set before the first
  /// crash.
  void SetOnNewRecords(std::function<void()> on_new_records) {
    m_on_new_records = std::move(on_new_records);
  }

  void RecordCrash(uint64_t key, const std::string& target) {
    {
      std::lock_guard lock(m_mutex);
      decide::RecordCrash(m_state, key, target, Now());
    }
    if (m_on_new_records)
      m_on_new_records();
  }
  void RecordSuccess(uint64_t key) {
    std::lock_guard lock(m_mutex);
    decide::RecordSuccess(m_state, key, Now());
  }
  bool IsQuarantined(uint64_t key) const {
    std::lock_guard lock(m_mutex);
    return decide::IsQuarantined(m_state, key, Now());
  }
  std::vector<decide::CrashRecord> TakeCrashRecords() {
    std::lock_guard lock(m_mutex);
    return decide::TakeCrashRecords(m_state);
  }
  void MergeCrashRecords(const std::vector<decide::CrashRecord>& records) {
    std::lock_guard lock(m_mutex);
    decide::MergeCrashRecords(m_state, records, Now());
  }

 private:
  std::function<void()> m_on_new_records;
  mutable std::mutex m_mutex;
  decide::QuarantineState m_state;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_LOCKED_QUARANTINE_H_
