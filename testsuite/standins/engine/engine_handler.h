#ifndef VERBENALEAD_STANDINS_ENGINE_ENGINE_HANDLER_H_
#define VERBENALEAD_STANDINS_ENGINE_ENGINE_HANDLER_H_

#include "base/settings.h"
#include "standins/common/faults.h"
#include "wire/response_writer.h"

namespace verbenalead::standins {

/// Creates the handler of a simulated model engine: POST /v1/completions
/// (streamed or not), GET /v1/models, POST /v1/load, GET /runs, GET /metrics.
/// The generated text is a function of the weights' digest and the prompt, so
/// that tests can compute the expected response. Specific faults:
///
///     {"crash_on": "TEXT"}     ends the process if a prompt contains TEXT
///     {"slow": 10}             each token takes 10 times as long
///     {"wrong_digest": true}   responds as if other weights were loaded
///     {"fail_load": true}      fails every load and keeps its weights
///     {"ignore_fence": true}   accepts loads with an old fencing number
wire::Handler MakeEngineHandler(const Settings& settings,
                                std::shared_ptr<Faults> faults);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_ENGINE_ENGINE_HANDLER_H_
