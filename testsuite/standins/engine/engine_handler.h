#ifndef VERBENALEAD_STANDINS_ENGINE_ENGINE_HANDLER_H_
#define VERBENALEAD_STANDINS_ENGINE_ENGINE_HANDLER_H_

#include "base/settings.h"
#include "standins/common/faults.h"
#include "wire/response_writer.h"

namespace verbenalead::standins {

/// A model engine: POST /v1/completions (streamed or not), GET /v1/models,
/// POST /v1/load, GET /runs, GET /metrics. Its text is a function of weights
/// and prompt, so that a test knows the right answer. Faults of its own:
///
///     {"crash_on": "TEXT"}     ends the process when a prompt holds TEXT
///     {"slow": 10}             each token takes so many times as long
///     {"wrong_digest": true}   answers in the name of other weights
///     {"fail_load": true}      fails every order and keeps what it serves
///     {"ignore_fence": true}   takes orders with an old fencing number
wire::Handler MakeEngineHandler(const Settings& settings,
                                std::shared_ptr<Faults> faults);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_ENGINE_ENGINE_HANDLER_H_
