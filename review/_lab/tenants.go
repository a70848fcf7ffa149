package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["tenants"] = tenantsGone }

// tenantsGone: the operator takes away the last tenant. Its configuration still contains tenants,
// a list without entries. Then somebody asks with a key that no configuration ever held.
func tenantsGone(rec *record, trouble bool) (bool, error) {
	c, err := newCluster(rec)
	if err != nil {
		return false, err
	}
	defer c.close()
	e, err := c.startEngine("i-0", "wuno96b", "zone-a", answerPlain)
	if err != nil {
		return false, err
	}
	if err := c.putConfig(plainConfig(7, oneTenant())); err != nil {
		return false, err
	}
	cl := newCloud(rec)
	address, err := cl.addressFor("1")
	if err != nil {
		return false, err
	}
	m := c.addMachine("front-zone-a-1", "zone-a", 1, address)
	if err := c.start(m); err != nil {
		return false, err
	}
	if err := c.awaitReady(20*time.Second, m); err != nil {
		return false, err
	}
	ask := func(id, key string) int {
		a := send(m, request{method: http.MethodPost, path: "/puxa403/2f", id: id, key: key, deadline: 1500 * time.Millisecond, body: []byte("posting " + id)})
		rec.addf("client: id=%s key=%q status=%d err=%v, ran %d times", id, key, a.status, a.err, e.ran(id))
		return e.ran(id)
	}
	if ask("0001", "i9n73hh2b9wu3fexd9dn") != 1 {
		return false, fmt.Errorf("the tenant's own request was not run")
	}
	if ask("0002", "never-a-key-of-anyone") != 0 {
		return true, nil
	}
	if trouble {
		if err := c.putConfig(plainConfig(9, []map[string]any{})); err != nil {
			return false, err
		}
	} else {
		// The tenant stays, without keys.
		if err := c.putConfig(plainConfig(9, []map[string]any{{"name": "hule930", "apiKeys": []string{}}})); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	broken := false
	for i, key := range []string{"never-a-key-of-anyone", ""} {
		if ask(fmt.Sprintf("100%d", i), key) > 0 {
			rec.addf("BROKEN: a request ran with the key %q, which no configuration ever held", key)
			broken = true
		}
	}
	return broken, nil
}
