package server

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
)

// Status is one instance's view of the cell, with the times since it last read
// the logs and since its last contact with each peer.
type Status struct {
	Instance        string        `json:"instance"`
	Member          string        `json:"member"`
	Domain          string        `json:"domain"`
	ConfigVersion   uint64        `json:"config-version"`
	ConfigReadAgeMS int64         `json:"config-read-age-ms"`
	Work            leader.Status `json:"work"`
	Requests        entry.Status  `json:"requests"`
	Peers           []PeerStatus  `json:"peers"`
}

// PeerStatus is the content of the last heartbeat from another instance, and the
// time since then.
type PeerStatus struct {
	Instance         string `json:"instance"`
	Domain           string `json:"domain"`
	Addr             string `json:"addr"`
	LastContactAgeMS int64  `json:"heard-ms-ago"`
	ConfigVersion    uint64 `json:"config-version"`
	LogReadAgeMS     int64  `json:"log-read-age-ms"`
	Leader           string `json:"leader"`
	Term             uint64 `json:"term"`
	Free             int    `json:"free-slots"`
	Slots            int    `json:"slots"`
	WaitingRequests  int    `json:"waiting-requests"`
	Leaving          bool   `json:"leaving"`
}

func (i *Instance) getStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := i.now()
	status := Status{
		Instance: i.settings.Instance, Member: i.memberID, Domain: i.settings.Domain, ConfigVersion: i.configView.Version(),
		ConfigReadAgeMS: now.Sub(i.configView.CaughtUpAt()).Milliseconds(), Work: i.domain.Status(now), Requests: i.router.Status(now),
	}
	for _, p := range i.memberView.Peers() {
		status.Peers = append(status.Peers, PeerStatus{
			Instance: p.Instance, Domain: p.Domain, Addr: p.Addr, LastContactAgeMS: now.Sub(p.LastContact).Milliseconds(), ConfigVersion: p.ConfigVersion,
			LogReadAgeMS: p.LogReadAge.Milliseconds(), Leader: p.LeaderInstance, Term: p.Term, Free: p.FreeSlots, Slots: p.TotalSlots,
			WaitingRequests: p.WaitingRequests, Leaving: p.Leaving,
		})
	}
	writeJSON(w, http.StatusOK, status)
}
