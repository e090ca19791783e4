#include "gateway/quota_runtime.h"

#include <algorithm>

namespace cornelswitch {

namespace {

/// Number of workspaces with metrics of their own.
constexpr std::size_t observed_workspaces = 16;
constexpr std::string_view metric_prefix = "workspace_";

/// Escapes a label value for the text format of Prometheus.
auto label(std::string_view value) -> std::string
{
    std::string out;
    for (char it : value) {
        if (it == '"' || it == '\\') {
            out.push_back('\\');
        }
        out.push_back(it);
    }
    return out;
}

} // namespace

quota_runtime::quota_runtime(event_loop& loop, event_log& log, gateway_metrics& metrics,
                             peer_mesh& mesh, instance_id self, boot_id boot, hooks context)
    : loop_{loop}, log_{log}, metrics_{metrics}, mesh_{mesh}, self_{std::move(self)}, boot_{boot},
      hooks_{std::move(context)}, random_{boot.value()}
{
}

quota_runtime::~quota_runtime()
{
    loop_.cancel(timer_);
}

auto quota_runtime::configure(const std::vector<workspace>* workspaces) -> void
{
    std::vector<std::pair<workspace_id, request_quota>> quotas;
    if (workspaces != nullptr) {
        for (const auto& it : *workspaces) {
            if (it.quota) {
                quotas.emplace_back(it.name, *it.quota);
            }
        }
    }
    if (quotas.empty()) {
        active_.reset();
        loop_.cancel(timer_);
        timer_ = 0;
        metrics_.clear_gauges(metric_prefix);
        return;
    }
    auto now = loop_.now();
    bool is_new = active_ == nullptr;
    if (is_new) {
        active_ = std::make_unique<active_state>(bounds_, random_());
    }
    active_->quotas = std::move(quotas);
    active_->limiter.configure(active_->quotas, now);
    if (active_->allocator) {
        active_->allocator->configure(active_->quotas, now);
    }
    if (is_new) {
        // All instances read a configuration at about the same time; the reports that follow the
        // first one come at a different time from each.
        update_role(now);
        send_report(now);
        auto wait = std::chrono::duration<double, duration::period>{quota_limiter::report_interval};
        timer_ = loop_.schedule(std::chrono::duration_cast<duration>(wait * uniform_real(random_)),
                                [this] { tick(); });
    }
}

auto quota_runtime::set_bounds(const quota_bounds& bounds) -> void
{
    bounds_ = bounds;
    if (!active_) {
        return;
    }
    // The bounds determine the usable burst, which the quotas are applied with.
    auto now = loop_.now();
    active_->limiter.set_bounds(bounds);
    active_->limiter.configure(active_->quotas, now);
    if (active_->allocator) {
        active_->allocator->set_bounds(bounds);
        active_->allocator->configure(active_->quotas, now);
    }
}

auto quota_runtime::admit(const workspace& from) -> quota_decision
{
    if (!active_) {
        return {};
    }
    auto now = loop_.now();
    auto out = active_->limiter.admit(from.name, now);
    if (active_->limiter.needs_report(now)) {
        send_report(now);
    }
    return out;
}

auto quota_runtime::give_back(const workspace& from) -> void
{
    if (active_) {
        active_->limiter.give_back(from.name, loop_.now());
    }
}

auto quota_runtime::count_refusal(const workspace& from, std::string_view cause) -> void
{
    if (!active_ || !from.quota) {
        return;
    }
    auto& causes = active_->refusals[from.name];
    auto it = causes.find(cause);
    if (it == causes.end()) {
        it = causes.emplace(std::string{cause}, 0).first;
    }
    ++it->second;
}

auto quota_runtime::update_role(time_point now) -> void
{
    auto n = hooks_.instances();
    active_->limiter.set_instances(n);
    auto chosen = hooks_.allocator();
    if (chosen == self_) {
        if (!active_->allocator) {
            active_->allocator.emplace(bounds_, now);
            active_->allocator->configure(active_->quotas, now);
            log_.line("quota-allocator").text("state", "start");
        }
        active_->allocator->set_instances(n);
        active_->limiter.set_allocator(self_.value(), now);
        return;
    }
    if (active_->allocator) {
        active_->allocator.reset();
        active_->sources.clear();
        log_.line("quota-allocator").text("state", "stop");
    }
    active_->limiter.set_allocator(chosen ? std::optional{chosen->value()} : std::nullopt, now);
}

auto quota_runtime::tick() -> void
{
    auto now = loop_.now();
    timer_ = loop_.schedule(quota_limiter::report_interval, [this] { tick(); });
    update_role(now);
    if (active_->allocator) {
        active_->allocator->tick(now);
        log_changes();
    }
    send_report(now);
    send_notices(now);
}

auto quota_runtime::send_report(time_point now) -> void
{
    if (active_->allocator) {
        auto report = active_->limiter.make_report(now);
        auto answer = active_->allocator->on_report(self_, boot_, report, now);
        active_->limiter.on_allocation(answer, now);
        send_notices(now);
        return;
    }
    auto chosen = hooks_.allocator();
    if (!chosen || chosen == self_) {
        return;
    }
    active_->limiter.set_allocator(chosen->value(), now);
    auto report = active_->limiter.make_report(now);
    if (!mesh_.send(*chosen, report)) {
        active_->limiter.restore(report);
    }
}

auto quota_runtime::on_report(admission_source source, const quota_report& report) -> void
{
    const auto* session = mesh_.find(source);
    if (!active_ || !active_->allocator || session == nullptr || !session->is_known) {
        return;
    }
    auto now = loop_.now();
    active_->sources[session->sender.id] = source;
    auto answer = active_->allocator->on_report(session->sender.id, session->boot, report, now);
    mesh_.send_to_session(source, answer);
    send_notices(now);
    log_changes();
}

auto quota_runtime::on_allocation(const instance_id& from, const quota_allocation& allocation)
    -> void
{
    // An answer of an earlier allocator must not count for the present one.
    if (active_ && !active_->allocator && hooks_.allocator() == from) {
        auto now = loop_.now();
        active_->limiter.set_allocator(from.value(), now);
        active_->limiter.on_allocation(allocation, now);
    }
}

auto quota_runtime::send_notices(time_point now) -> void
{
    if (!active_->allocator) {
        return;
    }
    for (const auto& [to, notice] : active_->allocator->take_notices(now)) {
        if (to == self_) {
            active_->limiter.on_allocation(notice, now);
        } else if (auto it = active_->sources.find(to); it != active_->sources.end()) {
            mesh_.send_to_session(it->second, notice);
        }
    }
}

auto quota_runtime::log_changes() -> void
{
    for (const auto& it : active_->allocator->take_changes()) {
        auto quota = std::ranges::find(active_->quotas, it.workspace,
                                       [](const auto& entry) { return entry.first; });
        log_.line(it.is_exceeding ? "quota-exceeded" : "quota-kept")
            .text("workspace", it.workspace.value())
            .decimal("offered_per_second", it.offered_rate)
            .decimal("quota_per_second",
                     quota == active_->quotas.end() ? 0 : quota->second.per_second);
    }
}

auto quota_runtime::update_metrics() -> void
{
    if (!active_) {
        return;
    }
    auto now = loop_.now();
    metrics_.clear_gauges(metric_prefix);
    for (const auto& [name, counts] : active_->limiter.largest(observed_workspaces, now)) {
        auto set = [&, workspace = label(name.value())](const std::string& metric, double value,
                                                        const std::string& more = "") {
            metrics_.set(std::string{metric_prefix} + metric + "{workspace=\"" + workspace + "\"" +
                             more + "}",
                         value);
        };
        set("requests_total", static_cast<double>(counts.offered));
        set("quota_isolated_refusals_total", static_cast<double>(counts.refused_isolated));
        set("quota_share", counts.share);
        set("quota_limited", counts.mode == quota_mode::limited ? 1 : 0);
        if (active_->allocator) {
            set("quota_used", active_->allocator->used_part(name, now));
        }
        if (auto it = active_->refusals.find(name); it != active_->refusals.end()) {
            for (const auto& [cause, n] : it->second) {
                set("refusals_total", static_cast<double>(n), ",cause=\"" + cause + "\"");
            }
        }
    }
}

} // namespace cornelswitch
