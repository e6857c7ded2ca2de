#include "target/upload_admission.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenalead::target {
namespace {

/// Interval at which a waiting upload checks whether the current uploads are
/// slowed down by their receivers (`decide::kSlowUpload`), so that it may
/// begin.
constexpr Duration kLook = 100ms;

}  // namespace

Awaitable<void> UploadAdmission::Wait(uint64_t id,
                                      uint64_t version,
                                      decide::UploadRequest request) {
  request.m_id = id;
  decide::EnqueueRequest(m_slots, version, request);
  auto timer = std::make_shared<boost::asio::steady_timer>(
      co_await boost::asio::this_coro::executor);
  m_waiting[id] = timer;
  Admit();
  while (m_waiting.contains(id)) {
    timer->expires_after(kLook);
    boost::system::error_code ignored;
    co_await timer->async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    Admit();
  }
}

void UploadAdmission::End(uint64_t id) {
  decide::EndUpload(m_slots, id);
  m_waiting.erase(id);
  Admit();
}

void UploadAdmission::Admit() {
  while (const auto id = decide::StartNextUpload(m_slots, Now())) {
    const auto found = m_waiting.find(*id);
    if (found == m_waiting.end()) {
      decide::EndUpload(m_slots, *id);
      continue;
    }
    found->second->cancel();
    m_waiting.erase(found);
  }
}

}  // namespace verbenalead::target
