#ifndef VERBENALEAD_TARGET_UPLOAD_ADMISSION_H_
#define VERBENALEAD_TARGET_UPLOAD_ADMISSION_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "base/awaitable.h"
#include "decide/transfer/upload_slots.h"

namespace verbenalead::target {

/// Suspends uploads until `decide::UploadSlots` admits them. Chunks sent
/// concurrently to several hosts would all be complete late, and until then no
/// receiver could pass one on. Not safe for concurrent use.
///
///     const uint64_t id = gate.NewId();
///     co_await gate.Wait(id, version, request);
///     ...
///     gate.End(id);
class UploadAdmission {
 public:
  uint64_t NewId() { return ++m_last_id; }
  /// Returns when the upload may begin. Sets `request.m_id` to `id`.
  Awaitable<void> Wait(uint64_t id,
                       uint64_t version,
                       decide::UploadRequest request);
  /// Must be called when the upload has ended or was abandoned, also while it
  /// still waits; otherwise the uploads behind it begin late.
  void End(uint64_t id);

 private:
  /// Resumes the waiting uploads that may begin now.
  void Admit();

  decide::UploadSlots m_slots;
  uint64_t m_last_id = 0;
  /// Waiting uploads by id; cancelling the timer resumes the upload.
  std::map<uint64_t, std::shared_ptr<boost::asio::steady_timer>> m_waiting;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_UPLOAD_ADMISSION_H_
