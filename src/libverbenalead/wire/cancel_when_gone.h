#ifndef VERBENALEAD_WIRE_CANCEL_WHEN_GONE_H_
#define VERBENALEAD_WIRE_CANCEL_WHEN_GONE_H_

#include "wire/response_reader.h"
#include "wire/response_writer.h"

namespace verbenalead::wire {

/// While it lives: if whoever waits for `writer` goes, `reader` is cancelled.
/// Without it a target goes on with work that nobody waits for, and the callers
/// behind it wait for nothing.
class CancelWhenGone {
 public:
  CancelWhenGone(ResponseWriter& writer, ResponseReader& reader)
      : m_writer(writer) {
    m_writer.OnGone([&reader] { reader.Cancel(); });
  }
  ~CancelWhenGone() { m_writer.OnGone(nullptr); }

  CancelWhenGone(const CancelWhenGone&) = delete;
  CancelWhenGone& operator=(const CancelWhenGone&) = delete;

 private:
  ResponseWriter& m_writer;
};

}  // namespace verbenalead::wire

#endif  // VERBENALEAD_WIRE_CANCEL_WHEN_GONE_H_
