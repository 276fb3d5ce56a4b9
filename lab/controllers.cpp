#include "controllers.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace bendtide::lab {

namespace {

constexpr Micros kExitCheckInterval = millis(100);
constexpr int kExecFailed = 127;
constexpr mode_t kLogMode = 0644;
constexpr double kMillicpusPerCpu = 1000;

std::size_t link_index(int from, int to) {
  return static_cast<std::size_t>(from) * kControllerCount + static_cast<std::size_t>(to);
}

/// Called in the child process: executes the controller, with its standard error appended to the log file.
/// The kernel kills the controller when the laboratory's process exits.
[[noreturn]] void exec_controller(const std::string& program, const std::string& settings,
                                  const std::string& log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (file >= 0) ::dup2(file, STDERR_FILENO);
  ::setenv("LOG_LEVEL", "debug", 1);
  ::execl(program.c_str(), program.c_str(), "--config", settings.c_str(), static_cast<char*>(nullptr));
  ::_exit(kExecFailed);
}

}  // namespace

Controllers::Controllers(Laboratory& lab) : lab_(lab) {
  for (int from = 0; from < kControllerCount; ++from) {
    write_settings(from);
    for (int to = 0; to < kControllerCount; ++to)
      if (from != to)
        links_.at(link_index(from, to)) =
            std::make_unique<LinkProxy>(lab.loop, lab.address(Laboratory::peer_link_port(from, to)),
                                        lab.address(Laboratory::internal_port(to)));
  }
}

Controllers::~Controllers() {
  for (int i = 0; i < kControllerCount; ++i) kill(i);
}

void Controllers::start_all() {
  for (const auto& link : links_)
    if (link) lab_.loop.spawn(link->run());
  for (int i = 0; i < kControllerCount; ++i) start(i);
  lab_.loop.spawn(restart_exited());
}

LinkProxy& Controllers::link(int from, int to) { return *links_.at(link_index(from, to)); }

std::string Controllers::settings_file(int controller) const {
  return lab_.plan.directory + "/" + Laboratory::host_name(controller) + ".toml";
}

std::string Controllers::log_file(int controller) const {
  return lab_.plan.directory + "/" + Laboratory::host_name(controller) + ".log";
}

void Controllers::write_settings(int controller) const {
  const Settings& settings = lab_.settings;
  const double limit_factor = lab_.plan.planted_defect == PlantedDefect::exceed_limits ? 10 : 1;
  std::ofstream out(settings_file(controller));
  out << "host_name = \"" << Laboratory::host_name(controller) << "\"\n"
      << "domain = \"" << Laboratory::zone(controller) << "\"\n"
      << "api_addr = \"" << lab_.address(Laboratory::user_port(controller)) << "\"\n"
      << "internal_addr = \"" << lab_.address(Laboratory::internal_port(controller)) << "\"\n";
  for (int peer = 0; peer < kControllerCount; ++peer)
    if (peer != controller)
      out << "[[known]]\nhost_name = \"" << Laboratory::host_name(peer) << "\"\ndomain = \""
          << Laboratory::zone(peer) << "\"\nendpoint = \""
          << lab_.address(Laboratory::peer_link_port(controller, peer)) << "\"\n";
  out << "[external]\ncloud = \"" << lab_.address(Laboratory::cloud_port()) << "\"\nstate = \""
      << lab_.address(Laboratory::store_link_port(controller)) << "\"\n"
      << "[settings]\nsize = " << kControllerCount << "\nzones = [\"east\", \"west\"]\n";
  for (const Team& team : settings.teams)
    out << "[[settings.teams]]\nname = \"" << team.name
        << "\"\ncpus = " << static_cast<double>(team.guarantee.cpu) / kMillicpusPerCpu
        << "\ncpus_max = " << static_cast<double>(team.limit.cpu) * limit_factor / kMillicpusPerCpu << "\n";
  out << "[settings.workers]\nreport_s = " << in_seconds(settings.heartbeat_interval)
      << "\nlease_s = " << in_seconds(settings.worker_lease)
      << "\ncancel_s = " << in_seconds(settings.cancel_within)
      << "\n[settings.state]\nrps = " << settings.store_requests_per_s
      << "\nwrite_rps = " << settings.store_writes_per_s
      << "\nvalue_kb = " << settings.store_value_bytes / 1024
      << "\ntxn_ops = " << settings.store_transaction_writes
      << "\n[settings.cloud]\nrps = " << settings.cloud_calls_per_s
      << "\nlist_lag_s = " << in_seconds(settings.cloud_list_lag)
      << "\n[settings.machine_limits]\ncores = 1.0\nmemory_mb = 256.0\nsockets = " << settings.sockets
      << "\n";
}

void Controllers::start(int controller) {
  if (is_running(controller)) return;
  const pid_t pid = ::fork();
  if (pid == 0) exec_controller(lab_.plan.program, settings_file(controller), log_file(controller));
  if (pid < 0) throw std::runtime_error("cannot fork a process for a controller");
  at(controller) = {pid, false};
  lab_.history.add(Laboratory::host_name(controller) + ": started");
}

void Controllers::kill(int controller) {
  Process& process = at(controller);
  if (process.pid <= 0) return;
  ::kill(process.pid, SIGKILL);
  ::waitpid(process.pid, nullptr, 0);
  process = {};
  lab_.history.add(Laboratory::host_name(controller) + ": killed");
}

void Controllers::pause(int controller) {
  Process& process = at(controller);
  if (process.pid <= 0 || process.paused) return;
  ::kill(process.pid, SIGSTOP);
  process.paused = true;
  lab_.history.add(Laboratory::host_name(controller) + ": paused");
}

void Controllers::resume(int controller) {
  Process& process = at(controller);
  if (process.pid <= 0 || !process.paused) return;
  ::kill(process.pid, SIGCONT);
  process.paused = false;
  lab_.history.add(Laboratory::host_name(controller) + ": resumed");
}

io::Task<> Controllers::restart_exited() {
  while (!lab_.closing) {
    for (int i = 0; i < kControllerCount; ++i) {
      Process& process = at(i);
      if (process.pid <= 0 || ::waitpid(process.pid, nullptr, WNOHANG) != process.pid) continue;
      process = {};
      ++unexpected_exits_;
      lab_.history.add(Laboratory::host_name(i) + ": exited unexpectedly");
      start(i);
    }
    co_await lab_.loop.sleep(kExitCheckInterval);
  }
}

std::vector<std::string> Controllers::errors(int controller) const {
  const std::string level = " " + Laboratory::host_name(controller) + " error ";
  std::vector<std::string> out;
  std::ifstream log(log_file(controller));
  for (std::string line; std::getline(log, line);)
    if (line.find(level) != std::string::npos || line.find("Sanitizer") != std::string::npos)
      out.push_back(line);
  return out;
}

}  // namespace bendtide::lab
