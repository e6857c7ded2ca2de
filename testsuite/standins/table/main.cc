#include "standins/common/run_standin.h"
#include "standins/table/table_handler.h"

int main(int argc, char** argv) {
  using namespace verbenalead;
  return standins::RunStandin(
      argc, argv, "standin_table", "Stands in for the table service.",
      standins::StandinSettings(),
      [](const Settings&, std::shared_ptr<standins::Faults>) {
        return standins::MakeTableHandler();
      });
}
