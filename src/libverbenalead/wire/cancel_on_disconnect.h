#ifndef VERBENALEAD_WIRE_CANCEL_ON_DISCONNECT_H_
#define VERBENALEAD_WIRE_CANCEL_ON_DISCONNECT_H_

#include "wire/response_reader.h"
#include "wire/response_writer.h"

namespace verbenalead::wire {

/// For the lifetime of this object, cancels `reader` when the receiver of
/// `writer` disconnects. Without it, a target would continue work whose result
/// is no longer wanted, and delay the calls queued behind it.
class CancelOnDisconnect {
 public:
  CancelOnDisconnect(ResponseWriter& writer, ResponseReader& reader)
      : m_writer(writer) {
    m_writer.OnDisconnect([&reader] { reader.Cancel(); });
  }
  ~CancelOnDisconnect() { m_writer.OnDisconnect(nullptr); }

  CancelOnDisconnect(const CancelOnDisconnect&) = delete;
  CancelOnDisconnect& operator=(const CancelOnDisconnect&) = delete;

 private:
  ResponseWriter& m_writer;
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_CANCEL_ON_DISCONNECT_H_
