#include "telemetry/metrics.h"

#include "types/enum_names.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <sstream>

#include <boost/histogram.hpp>

namespace cyclamenmount {

namespace {

namespace bh = boost::histogram;

//! Durations in milliseconds in logarithmic bins from 1 ms to 120 s.
using duration_axis = bh::axis::regular<double, bh::axis::transform::log>;
using duration_histogram = decltype(bh::make_histogram(duration_axis{}));

constexpr unsigned duration_bins = 48;
constexpr double shortest_ms = 1;
constexpr double longest_ms = 120'000;

struct duration_series {
    duration_histogram counts{
        bh::make_histogram(duration_axis{duration_bins, shortest_ms, longest_ms})};
    double sum_ms{0};
    std::uint64_t count{0};

    void add(milliseconds value) {
        const auto ms = static_cast<double>(value.count());
        counts(std::max(ms, shortest_ms));
        sum_ms += ms;
        ++count;
    }
};

//! Labels as written in the exposition, e.g. `stage="encode",pool="encoders"`.
using labels = std::string;

//! A label with its value escaped; a newline becomes a space.
std::string label(const char* name, const std::string& value) {
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        escaped += c == '\n' ? ' ' : c;
    }
    return std::string(name) + "=\"" + escaped + "\"";
}

struct counter_series {
    std::map<labels, double> values;

    void add(const labels& key, double amount) {
        values[key] += amount;
    }
};

void write_counter(std::ostream& out, const std::string& name, const counter_series& series) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [key, value] : series.values) {
        out << name << '{' << key << "} " << value << '\n';
    }
}

void write_histogram(std::ostream& out, const std::string& name,
                     const std::map<labels, duration_series>& series) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [key, one] : series) {
        double cumulative = one.counts.at(-1);
        const auto& axis = one.counts.axis();
        for (int bin = 0; bin < axis.size(); ++bin) {
            cumulative += one.counts.at(bin);
            out << name << "_bucket{" << key << (key.empty() ? "" : ",") << "le=\""
                << axis.bin(bin).upper() << "\"} " << cumulative << '\n';
        }
        out << name << "_bucket{" << key << (key.empty() ? "" : ",") << "le=\"+Inf\"} " << one.count
            << '\n';
        out << name << "_sum{" << key << "} " << one.sum_ms << '\n';
        out << name << "_count{" << key << "} " << one.count << '\n';
    }
}

}  // namespace

struct metrics::impl {
    mutable std::mutex mutex;
    std::map<labels, duration_series> request_ms;
    std::map<labels, duration_series> first_frame_ms;
    std::map<labels, duration_series> stage_busy_ms;
    counter_series requests;
    counter_series in_time;
    counter_series in_objective;
    counter_series refusals;
    counter_series attempts;
    counter_series tokens;
    counter_series wasted_ms;
    counter_series hedges;
    counter_series repeats;
    counter_series other_zone;
    std::map<std::string, double> gauges;

    void record_stage(const request_record& ended, const stage_cost& cost);
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::impl::record_stage(const request_record& ended, const stage_cost& cost) {
    const auto key = label("target", ended.target) + "," + label("stage", cost.stage.value) + "," +
                     label("workspace", ended.workspace.value);
    attempts.add(key, cost.attempts);
    tokens.add(key, cost.tokens);
    wasted_ms.add(key, static_cast<double>(cost.wasted.count()));
    hedges.add(key, cost.hedges);
    repeats.add(key, cost.repeats);
    other_zone.add(key, cost.other_zone ? 1 : 0);
    stage_busy_ms[label("target", ended.target) + "," + label("stage", cost.stage.value)].add(
        cost.busy);
}

void metrics::record(const request_record& ended) {
    const std::scoped_lock lock(impl_->mutex);
    const auto target = label("target", ended.target);
    const auto key = target + "," + label("workspace", ended.workspace.value);
    impl_->requests.add(key, 1);
    if (ended.refused.has_value()) {
        impl_->refusals.add(
            target + "," + label("reason", std::string(enum_name(ended.refused->reason))) + "," +
                label("execution", std::string(enum_name(ended.refused->state))),
            1);
    } else {
        impl_->in_time.add(key, ended.took <= ended.deadline ? 1 : 0);
        if (ended.in_objective) {
            impl_->in_objective.add(key, *ended.in_objective ? 1 : 0);
        }
        impl_->request_ms[target].add(ended.took);
        if (ended.first_frame > milliseconds(0)) {
            impl_->first_frame_ms[target].add(ended.first_frame);
        }
    }
    for (const auto& cost : ended.costs) {
        impl_->record_stage(ended, cost);
    }
}

void metrics::set_gauge(const std::string& name, double value) {
    const std::scoped_lock lock(impl_->mutex);
    impl_->gauges[name] = value;
}

std::string metrics::page() const {
    const std::scoped_lock lock(impl_->mutex);
    std::ostringstream out;
    write_counter(out, "cyclamenmount_requests_total", impl_->requests);
    write_counter(out, "cyclamenmount_requests_in_time_total", impl_->in_time);
    write_counter(out, "cyclamenmount_requests_in_objective_total", impl_->in_objective);
    write_counter(out, "cyclamenmount_refusals_total", impl_->refusals);
    write_counter(out, "cyclamenmount_stage_attempts_total", impl_->attempts);
    write_counter(out, "cyclamenmount_stage_tokens_total", impl_->tokens);
    write_counter(out, "cyclamenmount_stage_wasted_ms_total", impl_->wasted_ms);
    write_counter(out, "cyclamenmount_stage_hedges_total", impl_->hedges);
    write_counter(out, "cyclamenmount_stage_repeats_total", impl_->repeats);
    write_counter(out, "cyclamenmount_stage_other_zone_total", impl_->other_zone);
    write_histogram(out, "cyclamenmount_request_ms", impl_->request_ms);
    write_histogram(out, "cyclamenmount_first_frame_ms", impl_->first_frame_ms);
    write_histogram(out, "cyclamenmount_stage_busy_ms", impl_->stage_busy_ms);
    std::string_view last_family;
    for (const auto& [name, value] : impl_->gauges) {
        const std::string_view family = std::string_view(name).substr(0, name.find('{'));
        if (family != last_family) {
            out << "# TYPE cyclamenmount_" << family << " gauge\n";
            last_family = family;
        }
        out << "cyclamenmount_" << name << ' ' << value << '\n';
    }
    return out.str();
}

}  // namespace cyclamenmount
