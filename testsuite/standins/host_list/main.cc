#include <fstream>
#include <mutex>
#include <sstream>
#include <string>

#include "standins/common/run_standin.h"

namespace {

using namespace verbenalead;

struct HostList {
  std::mutex m_mutex;
  std::string m_json;
};

wire::Response Respond(HostList& list, const wire::Request& request) {
  std::lock_guard lock(list.m_mutex);
  if (request.m_method == "PUT")
    list.m_json = request.m_body;
  const std::string etag =
      '"' + std::to_string(std::hash<std::string>()(list.m_json)) + '"';
  if (wire::Get(request.m_headers, "if-none-match") == etag)
    return {304, {{"etag", etag}}, ""};
  wire::Response response = wire::JsonResponse(200, list.m_json);
  response.m_headers["etag"] = etag;
  return response;
}

Awaitable<void> Answer(std::shared_ptr<HostList> list,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  co_await writer.Send(Respond(*list, request));
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_host_list",
      "Stands in for the platform's list of hosts: GET /hosts; PUT /hosts "
      "replaces it.",
      standins::StandinSettings().Text("file", "hosts.json",
                                       "the list at the start"),
      [](const Settings& settings, std::shared_ptr<standins::Faults>) {
        auto list = std::make_shared<HostList>();
        std::ifstream file(settings.Text("file"));
        std::stringstream text;
        text << file.rdbuf();
        list->m_json = text.str();
        return
            [list](const wire::Request& request, wire::ResponseWriter& writer) {
              return Answer(list, request, writer);
            };
      });
}
