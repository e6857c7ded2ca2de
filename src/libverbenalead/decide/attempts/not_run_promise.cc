#include "decide/attempts/not_run_promise.h"

#include <algorithm>
#include <array>

namespace verbenalead::decide {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

constexpr std::array<int, 4> kPromises = {kRequestTimeout, kMisdirected,
                                          kTooManyRequests, kUnavailable};

}  // namespace

bool PromisesNotRun(int status) {
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

bool MayHaveRun(const CallProgress& progress) {
  return progress.m_possible_runs > 0 || progress.m_open_attempts > 0;
}

bool IsFalsePromise(int status, const CallProgress& progress) {
  return PromisesNotRun(status) && MayHaveRun(progress);
}

}  // namespace verbenalead::decide
