#pragma once

#include "platform/wire_names.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace cornelswitch::test {

/// A process of the real program `cornelswitch-gateway`. Ends with this object.
class gateway_process {
public:
    /// Writes `settings` to a file in a temporary folder and starts the program with it.
    explicit gateway_process(const std::string& settings)
    {
        auto pattern = (std::filesystem::temp_directory_path() / "gateway-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        auto settings_path = (folder_ / "settings").string();
        auto log_path = (folder_ / "log").string();
        std::ofstream{settings_path} << settings;
        pid_ = fork();
        BOOST_REQUIRE(pid_ >= 0);
        if (pid_ == 0) {
            int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
            dup2(log, STDOUT_FILENO);
            setenv(wire::settings_path_variable, settings_path.c_str(), 1);
            execl(CORNELSWITCH_GATEWAY_PATH, CORNELSWITCH_GATEWAY_PATH, nullptr);
            _exit(127);
        }
    }
    gateway_process(const gateway_process&) = delete;
    auto operator=(const gateway_process&) -> gateway_process& = delete;
    ~gateway_process()
    {
        if (is_alive()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        std::error_code ec;
        std::filesystem::remove_all(folder_, ec);
    }

    auto is_alive() -> bool
    {
        has_ended_ = has_ended_ || waitpid(pid_, nullptr, WNOHANG) == pid_;
        return !has_ended_;
    }

    /// Highest memory use of the process so far, in bytes.
    auto peak_memory() const -> std::uint64_t
    {
        std::ifstream in{"/proc/" + std::to_string(pid_) + "/status"};
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoull(line.substr(6)) * 1024;
            }
        }
        return 0;
    }

    auto open_descriptors() const -> std::size_t
    {
        std::error_code ec;
        std::filesystem::directory_iterator entries{"/proc/" + std::to_string(pid_) + "/fd", ec};
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    /// What the process has logged so far.
    auto log() const -> std::string
    {
        std::ifstream in{folder_ / "log"};
        return {std::istreambuf_iterator<char>{in}, {}};
    }

private:
    std::filesystem::path folder_;
    pid_t pid_{-1};
    bool has_ended_{false};
};

} // namespace cornelswitch::test
