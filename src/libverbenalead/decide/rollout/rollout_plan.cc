#include "decide/rollout/rollout_plan.h"

#include <algorithm>
#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::decide {
namespace {

namespace json = boost::json;

constexpr char kPoolKind[] = "pool";
constexpr char kVersionKind[] = "version";

Result<void> ReadRollout(const std::string& text, RolloutPlan& plan) {
  BOOST_LEAF_AUTO(spec, model::ParseObject(text, "spec"));
  const json::value* rollout = spec.if_contains("rollout");
  if (rollout == nullptr || !rollout->is_object())
    return {};
  const json::object& object = rollout->get_object();
  BOOST_LEAF_AUTO(percent,
                  model::NumberFieldOr(object, "max_unavailable_percent",
                                       plan.m_max_unavailable_percent));
  plan.m_max_unavailable_percent = static_cast<uint32_t>(percent);
  BOOST_LEAF_ASSIGN(plan.m_paused, model::FlagFieldOr(object, "paused", false));
  return {};
}

}  // namespace

RolloutPlan PlanForPool(const ConfigState& state,
                        const std::string& pool,
                        uint32_t hosts) {
  RolloutPlan plan;
  plan.m_hosts = hosts;
  auto found = state.m_resources.find({kPoolKind, pool});
  if (found == state.m_resources.end())
    return plan;
  plan.m_revision = found->second.m_revision;
  // The spec was validated before it was accepted. If it can't be parsed all
  // the same, the defaults apply.
  (void)CatchFailure([&] { return ReadRollout(found->second.m_spec, plan); });
  const auto version = VersionForPool(state, pool);
  if (!version)
    return plan;
  plan.m_digest = version->m_digest;
  for (const auto& item : state.m_resources) {
    const model::ResourceKey& key = item.first;
    if (key.m_kind != kVersionKind)
      continue;
    auto spec = CatchFailure([&] {
      return model::ParseVersionSpec(key.m_name, item.second.m_spec);
    });
    if (spec && spec->m_model == version->m_model)
      plan.m_declared[spec->m_digest] = spec->m_name;
  }
  return plan;
}

uint32_t MaxUnavailable(const RolloutPlan& plan) {
  return std::max(1U, plan.m_hosts * plan.m_max_unavailable_percent / 100);
}

}  // namespace verbenalead::decide
