#ifndef VERBENALEAD_STANDINS_COMMON_FAULTS_H_
#define VERBENALEAD_STANDINS_COMMON_FAULTS_H_

#include <memory>
#include <mutex>
#include <string>

#include "wire/response_writer.h"

namespace verbenalead::standins {

/// The faults that a stand-in shows, set by `POST /faults` with a JSON object:
///
///     {"down": true}         every request is answered 503
///     {"hang": true}         no request is answered
///     {"delay_ms": 500}      each answer comes that late
///     {"lose_answers": 3}    the next three requests take effect, but their
///                            connection breaks before the answer
///
/// Further members are the stand-in's own. May be used from several threads.
class Faults {
 public:
  bool Flag(const std::string& name) const;
  int64_t Number(const std::string& name) const;
  std::string Text(const std::string& name) const;
  /// Takes one off the counter `name`; false if it stands at 0.
  bool Spend(const std::string& name);
  /// False if `json` is no object.
  bool Set(const std::string& json);

 private:
  mutable std::mutex m_mutex;
  std::string m_json = "{}";
};

/// `handler` behind the faults that all stand-ins have in common.
wire::Handler WithFaults(std::shared_ptr<Faults> faults, wire::Handler handler);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_COMMON_FAULTS_H_
