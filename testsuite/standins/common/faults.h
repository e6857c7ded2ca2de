#ifndef VERBENALEAD_STANDINS_COMMON_FAULTS_H_
#define VERBENALEAD_STANDINS_COMMON_FAULTS_H_

#include <memory>
#include <mutex>
#include <string>

#include "wire/response_writer.h"

namespace verbenalead::standins {

/// The faults that a stand-in simulates. `POST /faults` replaces them by those
/// of a JSON object:
///
///     {"down": true}         every request is answered 503
///     {"hang": true}         no request is answered
///     {"delay_ms": 500}      each request is delayed by 500 ms
///     {"lose_answers": 3}    the next three requests take effect, but their
///                            connection breaks before the answer
///
/// Further members are specific to the stand-in. Thread-safe.
class Faults {
 public:
  /// Value of the member `name`; false, 0 or empty if it is absent or of
  /// another type.
  bool Flag(const std::string& name) const;
  int64_t Number(const std::string& name) const;
  std::string Text(const std::string& name) const;
  /// Decrements the counter `name`. Returns false if it is absent or 0 already.
  bool TryConsume(const std::string& name);
  /// Replaces all faults. Returns false, and changes nothing, if `json` is not
  /// a JSON object.
  bool Set(const std::string& json);

 private:
  mutable std::mutex m_mutex;
  std::string m_json = "{}";
};

/// Wraps `handler` with `POST /faults` and the faults listed above.
wire::Handler WithFaults(std::shared_ptr<Faults> faults, wire::Handler handler);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_COMMON_FAULTS_H_
