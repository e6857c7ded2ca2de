#ifndef VERBENALEAD_WIRE_RECORDING_WRITER_H_
#define VERBENALEAD_WIRE_RECORDING_WRITER_H_

#include <functional>
#include <string>
#include <utility>

#include "wire/response_writer.h"

namespace verbenalead::wire {

/// A ResponseWriter for tests that acts as the caller and records the response.
class RecordingWriter : public ResponseWriter {
 public:
  Awaitable<bool> Send(Response response) override {
    m_head_count += m_complete ? 2 : 1;
    m_status = response.m_status;
    m_headers = std::move(response.m_headers);
    m_body += response.m_body;
    m_complete = true;
    co_return true;
  }
  Awaitable<bool> Start(ResponseHead head) override {
    ++m_head_count;
    m_status = head.m_status;
    m_headers = std::move(head.m_headers);
    co_return true;
  }
  Awaitable<bool> Write(std::string bytes) override {
    m_body += bytes;
    co_return true;
  }
  Awaitable<bool> Finish(Headers) override {
    m_complete = true;
    co_return true;
  }
  bool disconnected() const override { return m_disconnected; }
  void OnDisconnect(std::function<void()> function) override {
    m_on_disconnect = std::move(function);
  }

  /// Simulates that the caller closes its connection.
  void Disconnect() {
    m_disconnected = true;
    if (const auto on_disconnect = std::exchange(m_on_disconnect, nullptr))
      on_disconnect();
  }

  /// Number of heads sent. A correct response has exactly one; a Send() after a
  /// complete response counts as 2.
  int m_head_count = 0;
  int m_status = 0;
  Headers m_headers;
  std::string m_body;
  /// Whether the response was completed.
  bool m_complete = false;

 private:
  std::function<void()> m_on_disconnect;
  bool m_disconnected = false;
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_RECORDING_WRITER_H_
