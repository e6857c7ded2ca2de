#ifndef VERBENALEAD_DAEMON_QUARANTINE_KEEPER_H_
#define VERBENALEAD_DAEMON_QUARANTINE_KEEPER_H_

#include <mutex>
#include <string>
#include <vector>

#include "decide/quarantine.h"

namespace verbenalead::daemon {

/// The entry's quarantine, under its lock. May be used from several threads.
class QuarantineKeeper {
 public:
  void NoteCrash(uint64_t key, const std::string& target) {
    std::lock_guard lock(m_mutex);
    decide::NoteCrash(m_state, key, target, Now());
  }
  void NoteSuccess(uint64_t key) {
    std::lock_guard lock(m_mutex);
    decide::NoteSuccess(m_state, key);
  }
  bool IsSetAside(uint64_t key) const {
    std::lock_guard lock(m_mutex);
    return decide::IsSetAside(m_state, key, Now());
  }
  std::vector<decide::CrashNote> News() {
    std::lock_guard lock(m_mutex);
    return decide::News(m_state);
  }
  void Merge(const std::vector<decide::CrashNote>& notes) {
    std::lock_guard lock(m_mutex);
    decide::Merge(m_state, notes, Now());
  }

 private:
  mutable std::mutex m_mutex;
  decide::QuarantineState m_state;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_QUARANTINE_KEEPER_H_
