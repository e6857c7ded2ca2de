#include "standins/common/run_standin.h"
#include "standins/engine/engine_handler.h"

int main(int argc, char** argv) {
  using namespace verbenalead;
  return standins::RunStandin(
      argc, argv, "standin_engine", "Stands in for a model engine.",
      standins::StandinSettings().Integer("token_us", 1000, 0, 10000000, "us",
                                          "time that one token takes"),
      &standins::MakeEngineHandler);
}
