#include "adapters/log4cxx/json_logger.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <atomic>
#include <fstream>

namespace cornelswitch {

namespace {

auto level_of(log_level level) -> log4cxx::LevelPtr
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

auto truncated(std::string_view text) -> std::string
{
    return std::string{text.substr(0, json_logger::max_message_bytes)};
}

/// log4cxx never destroys a named logger, so each object uses its own name.
auto next_name() -> std::string
{
    static std::atomic<unsigned> count{0};
    return "cornelswitch" + (count++ == 0 ? std::string{} : std::to_string(count));
}

} // namespace

struct json_logger::output {
    log4cxx::LoggerPtr logger;
    log4cxx::AppenderPtr appender;
};

auto json_logger::open(const settings& options) -> result<std::unique_ptr<json_logger>>
{
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto out = std::make_unique<output>();
    if (options.log_output == "stdout") {
        out->appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemOut());
    } else {
        if (!std::ofstream{options.log_output, std::ios::app}.is_open()) {
            return error{error_code::unavailable, "log-open", "",
                         "cannot open " + options.log_output + " for appending"};
        }
        out->appender = std::make_shared<log4cxx::FileAppender>(layout, options.log_output, true);
    }
    out->logger = log4cxx::LogManager::getLogger(next_name());
    out->logger->setAdditivity(false);
    out->logger->setLevel(level_of(options.lowest_level));
    out->logger->addAppender(out->appender);
    return std::unique_ptr<json_logger>{new json_logger{options, std::move(out)}};
}

json_logger::json_logger(const settings& options, std::unique_ptr<output> output)
    : instance_{options.instance.value()}, zone_{options.zone.value()}, output_{std::move(output)}
{
}

json_logger::~json_logger()
{
    output_->logger->removeAllAppenders();
    output_->appender->close();
}

auto json_logger::log(log_level level, std::string_view step, std::string_view peer,
                      std::string_view message) -> void
{
    auto target = level_of(level);
    if (!output_->logger->isEnabledFor(target)) {
        return;
    }
    log4cxx::MDC instance{"instance", instance_};
    log4cxx::MDC zone{"zone", zone_};
    log4cxx::MDC step_field{"step", truncated(step)};
    log4cxx::MDC peer_field{"peer", truncated(peer)};
    output_->logger->forcedLog(target, truncated(message));
}

} // namespace cornelswitch
