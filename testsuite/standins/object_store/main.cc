#include <map>
#include <mutex>
#include <string>

#include "standins/common/run_standin.h"

namespace {

using namespace verbenalead;

/// Objects, by "/bucket/key".
struct Store {
  std::mutex m_mutex;
  std::map<std::string, std::string> m_objects;
};

wire::Response List(const Store& store,
                    const std::string& bucket,
                    const std::string& prefix,
                    const std::string& start_after) {
  constexpr size_t kMaxKeys = 1000;
  size_t count = 0;
  std::string xml = "<?xml version=\"1.0\"?><ListBucketResult>";
  const std::string start = bucket + "/" + prefix;
  for (auto at = start_after.empty()
                     ? store.m_objects.lower_bound(start)
                     : store.m_objects.upper_bound(bucket + "/" + start_after);
       at != store.m_objects.end() && at->first.starts_with(start) &&
       count++ < kMaxKeys;
       ++at) {
    xml += "<Contents><Key>" + at->first.substr(bucket.size() + 1) +
           "</Key></Contents>";
  }
  return {
      200, {{"content-type", "application/xml"}}, xml + "</ListBucketResult>"};
}

wire::Response Respond(Store& store, const wire::Request& request) {
  std::lock_guard lock(store.m_mutex);
  const std::string path = wire::PathOf(request);
  if (request.m_method == "PUT") {
    store.m_objects[path] = request.m_body;
    return {200, {}, ""};
  }
  if (!wire::QueryValue(request, "list-type").empty())
    return List(store, path, wire::QueryValue(request, "prefix"),
                wire::QueryValue(request, "start-after"));
  auto found = store.m_objects.find(path);
  if (found == store.m_objects.end())
    return {404, {}, "NoSuchKey"};
  return {200, {}, found->second};
}

Awaitable<void> Answer(std::shared_ptr<Store> store,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  co_await writer.Send(Respond(*store, request));
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_object_store",
      "Stands in for the object store: PUT, GET and ListObjectsV2 of S3.",
      standins::StandinSettings(),
      [](const Settings&, std::shared_ptr<standins::Faults>) {
        auto store = std::make_shared<Store>();
        return [store](const wire::Request& request,
                       wire::ResponseWriter& writer) {
          return Answer(store, request, writer);
        };
      });
}
